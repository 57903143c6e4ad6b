#include <LibPeer/ClientConnection.h>
#include <LibPeer/ClientState.h>
#include <LibPeer/HeaderList.h>
#include <algorithm>
#include <charconv>

namespace Peer {

/// Hands the body of a request to nghttp2, piece by piece.
struct BodySource {
    static ssize_t read(nghttp2_session*, std::int32_t, std::uint8_t* buf, std::size_t size, std::uint32_t* flags, nghttp2_data_source* source, void*)
    {
        ClientStream& stream = *static_cast<ClientStream*>(source->ptr);
        std::size_t const n = std::min(size, stream.m_body.size() - stream.m_bodySent);
        std::copy_n(stream.m_body.data() + stream.m_bodySent, n, buf);
        stream.m_bodySent += n;
        if (stream.m_bodySent == stream.m_body.size()) {
            // From here on the other side may have the whole request, so it may run.
            stream.m_isBodyEndSent = true;
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(n);
    }
};

std::shared_ptr<ClientConnection> ClientConnection::create(boost::asio::ip::tcp::socket socket, Settings const& settings, std::weak_ptr<ClientState> owner)
{
    std::shared_ptr<ClientConnection> connection(new ClientConnection(settings, std::move(owner)));
    connection->m_session = Session::create(std::move(socket), Side::Client, settings, connection->makeHooks());
    connection->m_session->start();
    return connection;
}

ClientConnection::ClientConnection(Settings const& settings, std::weak_ptr<ClientState> owner)
    : m_settings(settings)
    , m_owner(std::move(owner))
{
}

SessionHooks ClientConnection::makeHooks()
{
    std::weak_ptr<ClientConnection> const weak = weak_from_this();
    SessionHooks hooks;
    hooks.onHeader = [weak](std::int32_t id, std::string_view name, std::string_view value) {
        if (std::shared_ptr<ClientConnection> const self = weak.lock())
            self->handleHeader(id, name, value);
    };
    hooks.onHeadersEnd = [weak](std::int32_t id) {
        if (std::shared_ptr<ClientConnection> const self = weak.lock())
            self->handleHeadersEnd(id);
    };
    hooks.onData = [weak](std::int32_t id, std::string_view bytes) {
        std::shared_ptr<ClientConnection> const self = weak.lock();
        if (std::shared_ptr<ClientStream> const stream = self ? self->find(id) : nullptr)
            stream->receiveData(bytes);
    };
    hooks.onRemoteEnd = [weak](std::int32_t id) {
        std::shared_ptr<ClientConnection> const self = weak.lock();
        if (std::shared_ptr<ClientStream> const stream = self ? self->find(id) : nullptr)
            stream->m_isWhole = stream->m_status != 0;
    };
    hooks.onStreamClosed = [weak](std::int32_t id, std::uint32_t code) {
        if (std::shared_ptr<ClientConnection> const self = weak.lock())
            self->handleStreamClosed(id, code);
    };
    hooks.onGoingAway = [weak] {
        std::shared_ptr<ClientConnection> const self = weak.lock();
        if (std::shared_ptr<ClientState> const owner = self ? self->m_owner.lock() : nullptr)
            owner->dispatchLater();
    };
    hooks.onFresh = hooks.onGoingAway;
    hooks.onClosed = [weak](CloseReason reason) {
        if (std::shared_ptr<ClientConnection> const self = weak.lock())
            self->handleClosed(reason);
    };
    return hooks;
}

std::shared_ptr<ClientStream> ClientConnection::find(std::int32_t id) const
{
    auto const it = m_streams.find(id);
    return it == m_streams.end() ? nullptr : it->second;
}

bool ClientConnection::submit(std::shared_ptr<ClientStream> const& stream)
{
    HeaderList headers;
    headers.add(":method", "POST");
    headers.add(":scheme", "http");
    headers.add(":authority", "peer");
    headers.add(":path", stream->m_path);
    headers.add(senderNameHeader, m_settings.senderName);
    headers.add(senderIncarnationHeader, std::to_string(m_settings.senderIncarnation));
    nghttp2_data_provider provider {};
    provider.source.ptr = stream.get();
    provider.read_callback = BodySource::read;
    std::int32_t const id = nghttp2_submit_request(m_session->native(), nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id < 0)
        return false;
    stream->m_id = id;
    stream->m_session = m_session;
    m_streams.emplace(id, stream);
    m_session->addStream();
    m_session->scheduleFlush();
    return true;
}

void ClientConnection::handleHeader(std::int32_t id, std::string_view name, std::string_view value)
{
    std::shared_ptr<ClientStream> const stream = find(id);
    if (!stream || name != ":status")
        return;
    std::from_chars(value.data(), value.data() + value.size(), stream->m_status);
}

void ClientConnection::handleHeadersEnd(std::int32_t id)
{
    std::shared_ptr<ClientStream> const stream = find(id);
    if (stream && !stream->m_isOver && stream->m_hooks.onHead)
        stream->m_hooks.onHead(stream->m_status);
}

void ClientConnection::handleStreamClosed(std::int32_t id, std::uint32_t code)
{
    std::shared_ptr<ClientStream> const stream = find(id);
    if (!stream)
        return;
    m_streams.erase(id);
    if (stream->m_isWhole) {
        stream->finish(Core::ok());
        return;
    }
    // The other side refuses a stream only before its handler has seen it.
    bool const isRefused = code == NGHTTP2_REFUSED_STREAM && stream->m_status == 0;
    Core::Verdict const verdict = isRefused ? Core::Verdict::NotRun : stream->verdict();
    Core::ErrorCode const kind = isRefused ? Core::ErrorCode::Overloaded : Core::ErrorCode::Unavailable;
    stream->finish(Core::Error { kind, std::string("The other daemon ended the stream: ") + nghttp2_http2_strerror(code), verdict });
}

void ClientConnection::handleClosed(CloseReason reason)
{
    std::unordered_map<std::int32_t, std::shared_ptr<ClientStream>> const streams = std::move(m_streams);
    m_streams.clear();
    std::shared_ptr<ClientState> const owner = m_owner.lock();
    if (!owner) {
        for (std::pair<std::int32_t const, std::shared_ptr<ClientStream>> const& entry : streams)
            entry.second->abandon();
        return;
    }
    owner->handleClosed(*this, reason);
    std::string const message = "The connection to the other daemon ended: " + std::string(Core::nameOf(closeReasonNames, reason));
    for (std::pair<std::int32_t const, std::shared_ptr<ClientStream>> const& entry : streams)
        entry.second->finish(Core::Error { Core::ErrorCode::Unavailable, message, entry.second->verdict() });
}

}
