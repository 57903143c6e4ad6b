#pragma once

#include "Fleet.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Processes {

/// What one member of a crowd sends on a connection.
struct CrowdScript {
    std::string begin; ///< Written once, first.
    std::string block {}; ///< Written again and again behind it.
    std::size_t blockBytes { 0 }; ///< Of the blocks together; the last one may be cut.
    bool isEndless { false }; ///< Blocks are written until the connection ends, whatever `blockBytes` says.
    std::string end {}; ///< Written behind the blocks.
    bool readsAnswer { false }; ///< Takes what comes back. Else nothing is read, and the connection stays open.
    std::size_t rounds { 1 }; ///< How often a member does all this, each time on a new connection when the last one has ended.
};

/// Callers that do not behave, each with one connection at a time. They write as fast as they can, on a thread of this object, and keep
/// their connections open until it ends or the daemon closes them. Not thread-safe.
class Crowd {
public:
    /// Connects `size` members. `receiveBuffer`: as for RawCaller.
    Crowd(Endpoint const&, std::size_t size, CrowdScript, int receiveBuffer = 0);
    ~Crowd();
    Crowd(Crowd const&) = delete;
    Crowd& operator=(Crowd const&) = delete;

    /// Returns whether no member has anything left to send: each has sent all, or was refused or closed in its last round.
    bool isSpent() const { return m_isSpent; }

    /// Returns the bytes that the members have sent.
    std::size_t sentBytes() const { return m_sentBytes; }

    /// Closes all connections.
    void leave();

private:
    struct Member;

    void run();
    void connect(Member&);
    void write(Member&);
    void read(Member&);
    std::string_view nextBytes(Member const&) const;

    Endpoint m_endpoint;
    CrowdScript m_script;
    int m_receiveBuffer;
    std::vector<std::unique_ptr<Member>> m_members;
    std::atomic<std::size_t> m_sentBytes { 0 };
    std::atomic<bool> m_isSpent { false };
    std::atomic<bool> m_isLeaving { false };
    std::thread m_thread;
};

}
