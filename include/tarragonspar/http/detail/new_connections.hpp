#pragma once

#include <boost/system/error_code.hpp>

namespace tarragonspar::http::detail {

/// @brief Makes the kernel drop SYN segments, while connections that are already being established
/// still reach the accept queue.
///
/// Closing a listening socket resets the connections in its accept queue. Without the filter,
/// another connection could be established between the last accept and the close, and be reset
/// after its caller saw it as established.
/// @param listening_socket  descriptor of a listening TCP socket
/// @return an error if the filter can't be set or the system has no such filter
[[nodiscard]] boost::system::error_code drop_new_connections(int listening_socket);

} // namespace tarragonspar::http::detail
