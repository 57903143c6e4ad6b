#pragma once

#include <LibCore/Result.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Peer {

class Session;
class ClientState;

/// What the opener of a stream is told.
struct StreamHooks {
    std::function<void(int status)> onHead;
    std::function<void(std::string_view bytes)> onData; ///< The bytes are valid during the call only.
    std::function<void(Core::Result<void>)> onEnd; ///< Success means that the whole answer arrived.
    /// When set, the opener calls `ClientStream::consume` for what it has passed on; until then no more
    /// than one flow control window arrives. Otherwise bytes count as consumed when `onData` returns.
    bool isConsumedByHand { false };
};

/// One request and its answer, at the sender. Belongs to its client's thread; no method is thread-safe.
class ClientStream : public std::enable_shared_from_this<ClientStream> {
public:
    ClientStream(std::string path, std::string body, StreamHooks);
    ClientStream(ClientStream const&) = delete;
    ClientStream& operator=(ClientStream const&) = delete;

    /// Gives the request up: no hook is called afterwards. Returns whether it may have run ('ran' when the
    /// whole answer had arrived). A second call changes nothing.
    Core::Verdict cancel();
    /// Tells that `n` bytes given to `onData` have been passed on, so that as many more may arrive.
    void consume(std::size_t n);
    /// Returns whether the answer is whole, failed or was given up.
    bool isOver() const { return m_isOver; }

private:
    friend class ClientState;
    friend class ClientConnection;
    friend struct BodySource;

    Core::Verdict verdict() const;
    void finish(Core::Result<void>);
    void abandon();
    void receiveData(std::string_view);

    std::string m_path;
    std::string m_body;
    std::size_t m_bodySent { 0 };
    StreamHooks m_hooks;
    std::weak_ptr<ClientState> m_owner;
    std::weak_ptr<Session> m_session;
    std::int32_t m_id { 0 };
    int m_status { 0 };
    bool m_isBodyEndSent { false };
    bool m_isWhole { false };
    bool m_isOver { false };
};

}
