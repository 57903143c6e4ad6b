#include <LibPeer/ClientState.h>
#include <LibPeer/ClientStream.h>
#include <LibPeer/Session.h>

namespace Peer {

ClientStream::ClientStream(std::string path, std::string body, StreamHooks hooks)
    : m_path(std::move(path))
    , m_body(std::move(body))
    , m_hooks(std::move(hooks))
{
}

Core::Verdict ClientStream::verdict() const
{
    if (m_isWhole)
        return Core::Verdict::Ran;
    return m_isBodyEndSent ? Core::Verdict::MayHaveRun : Core::Verdict::NotRun;
}

Core::Verdict ClientStream::cancel()
{
    if (m_isOver)
        return verdict();
    m_isOver = true;
    if (std::shared_ptr<ClientState> const owner = m_owner.lock())
        owner->handleCanceled(shared_from_this());
    if (std::shared_ptr<Session> const session = m_session.lock(); session && session->isOpen()) {
        nghttp2_submit_rst_stream(session->native(), NGHTTP2_FLAG_NONE, m_id, NGHTTP2_CANCEL);
        session->scheduleFlush();
    }
    return verdict();
}

void ClientStream::consume(std::size_t n)
{
    if (std::shared_ptr<Session> const session = m_session.lock())
        session->consume(m_id, n);
}

void ClientStream::receiveData(std::string_view bytes)
{
    if (!m_isOver && m_hooks.onData)
        m_hooks.onData(bytes);
    if (m_isOver || !m_hooks.isConsumedByHand)
        consume(bytes.size());
}

void ClientStream::abandon()
{
    m_isOver = true;
    StreamHooks const hooks = std::move(m_hooks);
    m_hooks = {};
}

void ClientStream::finish(Core::Result<void> result)
{
    StreamHooks const hooks = std::move(m_hooks);
    m_hooks = {};
    m_body = {};
    if (m_isOver)
        return;
    m_isOver = true;
    if (std::shared_ptr<ClientState> const owner = m_owner.lock())
        owner->handleFinished(result);
    if (hooks.onEnd)
        hooks.onEnd(std::move(result));
}

}
