#include <LibPeer/HeaderList.h>
#include <LibPeer/ServerStreamState.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <cassert>

namespace Peer {

namespace {

std::uint32_t toHttp2(ResetCode code)
{
    switch (code) {
    case ResetCode::Refused:
        return NGHTTP2_REFUSED_STREAM;
    case ResetCode::Canceled:
        return NGHTTP2_CANCEL;
    case ResetCode::Internal:
        break;
    }
    return NGHTTP2_INTERNAL_ERROR;
}

}

ssize_t ServerStreamState::read(nghttp2_session*, std::int32_t, std::uint8_t* buf, std::size_t size, std::uint32_t* flags, nghttp2_data_source* source, void*)
{
    ServerStreamState& state = *static_cast<ServerStreamState*>(source->ptr);
    std::size_t const n = std::min(size, state.queuedBytes());
    std::copy_n(state.queue.data() + state.queueStart, n, buf);
    state.queueStart += n;
    if (2 * state.queueStart >= state.queue.size()) {
        state.queue.erase(0, state.queueStart);
        state.queueStart = 0;
    }
    if (state.queue.empty())
        std::string().swap(state.queue);
    if (state.wasFull && 2 * state.queuedBytes() <= state.maxQueuedBytes) {
        state.wasFull = false;
        boost::asio::post(state.executor, [self = state.shared_from_this()] {
            if (!self->isOver && self->onDrained)
                self->onDrained();
        });
    }
    if (state.queuedBytes() == 0 && state.isEnded) {
        state.isEndSent = true;
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(n);
    }
    return n == 0 ? static_cast<ssize_t>(NGHTTP2_ERR_DEFERRED) : static_cast<ssize_t>(n);
}

void ServerStreamState::resume()
{
    std::shared_ptr<Session> const owner = session.lock();
    if (isOver || !owner || !owner->isOpen())
        return;
    nghttp2_session_resume_data(owner->native(), id);
    owner->scheduleFlush();
}

ServerStream::ServerStream(std::shared_ptr<ServerStreamState> state)
    : m_state(std::move(state))
{
}

ServerStream::~ServerStream()
{
    if (!m_state->isEnded)
        reset(ResetCode::Internal);
}

void ServerStream::setOnCanceled(std::function<void()> hook)
{
    if (!m_state->isOver)
        m_state->onCanceled = std::move(hook);
}

void ServerStream::setOnDrained(std::function<void()> hook)
{
    if (!m_state->isOver)
        m_state->onDrained = std::move(hook);
}

void ServerStream::sendHead(int status)
{
    assert(status >= 200 && status <= 599);
    std::shared_ptr<Session> const session = m_state->session.lock();
    if (m_state->isOver || m_state->isHeadSent || !session || !session->isOpen())
        return;
    m_state->isHeadSent = true;
    HeaderList headers;
    headers.add(":status", std::to_string(status));
    nghttp2_data_provider provider {};
    provider.source.ptr = m_state.get();
    provider.read_callback = ServerStreamState::read;
    nghttp2_submit_response(session->native(), m_state->id, headers.data(), headers.size(), &provider);
    session->scheduleFlush();
}

SendOutcome ServerStream::send(std::string_view bytes)
{
    assert(m_state->isHeadSent || m_state->isOver);
    if (!isOpen() || m_state->isEnded)
        return SendOutcome::Closed;
    if (m_state->queuedBytes() > 0 && m_state->queuedBytes() + bytes.size() > m_state->maxQueuedBytes) {
        m_state->wasFull = true;
        return SendOutcome::Full;
    }
    m_state->queue += bytes;
    m_state->resume();
    return SendOutcome::Queued;
}

void ServerStream::end()
{
    assert(m_state->isHeadSent || m_state->isOver);
    if (m_state->isEnded)
        return;
    m_state->isEnded = true;
    m_state->resume();
}

void ServerStream::reset(ResetCode code)
{
    m_state->isEnded = true;
    std::shared_ptr<Session> const session = m_state->session.lock();
    if (m_state->isOver || !session || !session->isOpen())
        return;
    m_state->isOver = true;
    nghttp2_submit_rst_stream(session->native(), NGHTTP2_FLAG_NONE, m_state->id, toHttp2(code));
    session->scheduleFlush();
}

bool ServerStream::isOpen() const
{
    std::shared_ptr<Session> const session = m_state->session.lock();
    return !m_state->isOver && session && session->isOpen();
}

std::size_t ServerStream::queuedBytes() const
{
    return m_state->queuedBytes();
}

}
