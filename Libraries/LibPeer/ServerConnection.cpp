#include <LibPeer/HeaderList.h>
#include <LibPeer/ServerConnection.h>
#include <LibPeer/ServerState.h>
#include <charconv>

namespace Peer {

std::shared_ptr<ServerConnection> ServerConnection::create(boost::asio::ip::tcp::socket socket, Settings const& settings, std::weak_ptr<ServerState> owner)
{
    std::shared_ptr<ServerConnection> connection(new ServerConnection(settings, std::move(owner)));
    connection->m_session = Session::create(std::move(socket), Side::Server, settings, connection->makeHooks());
    connection->m_session->start();
    return connection;
}

ServerConnection::ServerConnection(Settings const& settings, std::weak_ptr<ServerState> owner)
    : m_settings(settings)
    , m_owner(std::move(owner))
{
}

SessionHooks ServerConnection::makeHooks()
{
    std::weak_ptr<ServerConnection> const weak = weak_from_this();
    SessionHooks hooks;
    hooks.onBeginHeaders = [weak](std::int32_t id) {
        if (std::shared_ptr<ServerConnection> const self = weak.lock())
            self->m_streams.try_emplace(id);
    };
    hooks.onHeader = [weak](std::int32_t id, std::string_view name, std::string_view value) {
        if (std::shared_ptr<ServerConnection> const self = weak.lock())
            self->handleHeader(id, name, value);
    };
    hooks.onData = [weak](std::int32_t id, std::string_view bytes) {
        if (std::shared_ptr<ServerConnection> const self = weak.lock())
            self->handleData(id, bytes);
    };
    hooks.onRemoteEnd = [weak](std::int32_t id) {
        if (std::shared_ptr<ServerConnection> const self = weak.lock())
            self->handleRemoteEnd(id);
    };
    hooks.onStreamClosed = [weak](std::int32_t id, std::uint32_t) {
        if (std::shared_ptr<ServerConnection> const self = weak.lock())
            self->handleStreamClosed(id);
    };
    hooks.onClosed = [weak](CloseReason) {
        if (std::shared_ptr<ServerConnection> const self = weak.lock())
            self->handleClosed();
    };
    return hooks;
}

void ServerConnection::handleHeader(std::int32_t id, std::string_view name, std::string_view value)
{
    auto const it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    Request& request = it->second.request;
    if (name == ":path")
        request.path = value;
    else if (name == senderNameHeader)
        request.senderName = value;
    else if (name == senderIncarnationHeader)
        std::from_chars(value.data(), value.data() + value.size(), request.senderIncarnation);
}

void ServerConnection::handleData(std::int32_t id, std::string_view bytes)
{
    m_session->consume(id, bytes.size());
    auto const it = m_streams.find(id);
    std::shared_ptr<ServerState> const owner = m_owner.lock();
    if (it == m_streams.end() || it->second.isRefused || !owner)
        return;
    Stream& stream = it->second;
    bool const fits = stream.request.body.size() + bytes.size() <= m_settings.maxRequestBytes;
    if (fits && owner->reserve(bytes.size())) {
        stream.request.body += bytes;
        return;
    }
    // The handler has not seen the request, so refusing it is a true 'not run'.
    release(stream);
    stream.isRefused = true;
    nghttp2_submit_rst_stream(m_session->native(), NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
}

void ServerConnection::release(Stream& stream)
{
    if (std::shared_ptr<ServerState> const owner = m_owner.lock())
        owner->release(stream.request.body.size());
    stream.request.body = {};
}

void ServerConnection::handleRemoteEnd(std::int32_t id)
{
    auto const it = m_streams.find(id);
    std::shared_ptr<ServerState> const owner = m_owner.lock();
    if (it == m_streams.end() || it->second.isRefused || it->second.answer || !owner)
        return;
    Stream& stream = it->second;
    stream.answer = std::make_shared<ServerStreamState>();
    stream.answer->executor = m_session->executor();
    stream.answer->session = m_session;
    stream.answer->id = id;
    stream.answer->maxQueuedBytes = m_settings.maxQueuedAnswerBytes;
    owner->release(stream.request.body.size());
    Request request = std::move(stream.request);
    stream.request = {};
    owner->handleRequest(std::move(request), std::make_shared<ServerStream>(stream.answer));
}

void ServerConnection::handleStreamClosed(std::int32_t id)
{
    auto const it = m_streams.find(id);
    if (it == m_streams.end())
        return;
    Stream stream = std::move(it->second);
    m_streams.erase(it);
    release(stream);
    if (!stream.answer)
        return;
    bool const isCanceled = !stream.answer->isOver && !stream.answer->isEndSent;
    stream.answer->isOver = true;
    std::function<void()> const onCanceled = std::move(stream.answer->onCanceled);
    stream.answer->onCanceled = nullptr;
    stream.answer->onDrained = nullptr;
    if (isCanceled && onCanceled)
        onCanceled();
}

void ServerConnection::handleClosed()
{
    while (!m_streams.empty())
        handleStreamClosed(m_streams.begin()->first);
    if (std::shared_ptr<ServerState> const owner = m_owner.lock())
        owner->handleClosed(shared_from_this());
}

}
