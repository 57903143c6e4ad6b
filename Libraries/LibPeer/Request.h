#pragma once

#include <cstdint>
#include <string>

namespace Peer {

/// A whole request from another daemon.
struct Request {
    std::string path;
    std::string senderName; ///< As the sender claims; empty when it sent none.
    std::uint64_t senderIncarnation { 0 };
    std::string body;
};

}
