#pragma once

// Uploads that a server does not read: how much of one is still in the hands of its sender.

#include <fstream>
#include <limits>
#include <sstream>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace tarragonspar::testing {

/// A receive buffer so small that the sender of an upload must wait until the server reads.
inline constexpr int small_receive_buffer = 4096;

/// @brief Returns the bytes that the kernel holds of what the peer sends on a connection between
/// two sockets of this machine; all further ones are still in the hands of the sender.
/// @param receiver  the receiving end
/// @return the largest number if the connection is not listed
inline std::size_t bytes_in_kernel(boost::asio::ip::tcp::socket& receiver) {
    const auto port_of = [](const std::string& address) {
        return std::stoul(address.substr(address.find(':') + 1), nullptr, 16);
    };
    const auto sender_port = receiver.remote_endpoint().port();
    const auto receiver_port = receiver.local_endpoint().port();
    std::ifstream connections("/proc/net/tcp");
    std::string line;
    std::getline(connections, line); // names of the columns
    while (std::getline(connections, line)) {
        std::istringstream columns(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues; // to send and received, in hexadecimal
        columns >> slot >> local >> remote >> state >> queues;
        if (port_of(local) == sender_port && port_of(remote) == receiver_port) {
            return receiver.available() + std::stoul(queues, nullptr, 16);
        }
    }
    return std::numeric_limits<std::size_t>::max();
}

} // namespace tarragonspar::testing
