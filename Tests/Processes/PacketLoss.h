#pragma once

#include <array>
#include <cstdint>
#include <linux/filter.h>
#include <stdexcept>
#include <sys/socket.h>

namespace Processes {

/// Has the kernel drop a share of the segments that arrive for a socket or a listener: 1 makes its host silent, 0 ends the loss.
inline void dropArriving(int handle, double share)
{
    if (share <= 0) {
        int none = 0;
        static_cast<void>(::setsockopt(handle, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof(none)));
        return;
    }
    constexpr std::uint32_t steps = 10'000;
    constexpr std::uint32_t wholeSegment = 0xffffffff;
    std::array<sock_filter, 5> filter { {
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, static_cast<std::uint32_t>(SKF_AD_OFF + SKF_AD_RANDOM)),
        BPF_STMT(BPF_ALU | BPF_MOD | BPF_K, steps),
        BPF_JUMP(BPF_JMP | BPF_JGE | BPF_K, static_cast<std::uint32_t>(share * steps), 0, 1),
        BPF_STMT(BPF_RET | BPF_K, wholeSegment),
        BPF_STMT(BPF_RET | BPF_K, 0),
    } };
    sock_fprog program { filter.size(), filter.data() };
    if (::setsockopt(handle, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) != 0)
        throw std::runtime_error("the kernel takes no filter");
}

}
