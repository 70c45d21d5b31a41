#include "tarragonspar/http/detail/new_connections.hpp"

#include <cerrno>

#include <boost/asio/error.hpp>

#ifdef __linux__
#include <array>

#include <linux/filter.h>
#include <sys/socket.h>
#endif

namespace tarragonspar::http::detail {

boost::system::error_code drop_new_connections(int listening_socket) {
#ifdef __linux__
    // The filter's offsets are relative to the TCP header.
    constexpr unsigned flags_offset = 13;
    constexpr unsigned syn = 0x02;
    constexpr unsigned ack = 0x10;
    constexpr unsigned accept_all_bytes = 0xffffffff;
    std::array<sock_filter, 5> program{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, syn | ack),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, syn, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, accept_all_bytes),
    }};
    const sock_fprog filter{.len = static_cast<unsigned short>(program.size()),
                            .filter = program.data()};
    if (::setsockopt(listening_socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0) {
        return {errno, boost::system::system_category()};
    }
    return {};
#else
    static_cast<void>(listening_socket);
    return boost::asio::error::operation_not_supported;
#endif
}

} // namespace tarragonspar::http::detail
