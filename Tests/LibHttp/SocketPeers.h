#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <linux/filter.h>
#include <sys/socket.h>

namespace SocketPeers {

/// Drops all that arrives for a socket or a listener from now on, acknowledgements of its peer's bytes included: to the peer its host
/// has gone silent.
template <typename Socket>
void goSilent(Socket& socket)
{
    sock_filter drop { BPF_RET | BPF_K, 0, 0, 0 };
    sock_fprog program { 1, &drop };
    ASSERT_EQ(::setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)), 0);
}

/// Ends what `goSilent` began.
template <typename Socket>
void hearAgain(Socket& socket)
{
    int none = 0;
    ASSERT_EQ(::setsockopt(socket.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof(none)), 0);
}

}
