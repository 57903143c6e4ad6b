#include <LibCore/UncaughtException.h>
#include <LibHttp/HostProbes.h>
#include <LibHttp/StreamConnect.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

namespace Http {

namespace {

// Between two connections to a host; it doubles while the host does not answer, since many may be silent at once.
constexpr std::chrono::milliseconds leastInterval { 200 };
constexpr std::chrono::milliseconds longestInterval { 1'600 };
constexpr std::chrono::seconds rememberedFor { 60 };

}

std::shared_ptr<HostProbes> HostProbes::create(boost::asio::any_io_executor executor, std::optional<boost::asio::ip::address> local, std::chrono::milliseconds connectTimeout)
{
    return std::shared_ptr<HostProbes>(new HostProbes(std::move(executor), std::move(local), connectTimeout));
}

HostProbes::HostProbes(boost::asio::any_io_executor executor, std::optional<boost::asio::ip::address> local, std::chrono::milliseconds connectTimeout)
    : m_executor(std::move(executor))
    , m_local(std::move(local))
    , m_connectTimeout(connectTimeout)
{
}

std::optional<HostProbes::Time> HostProbes::ask(boost::asio::ip::tcp::endpoint const& endpoint)
{
    Time now = std::chrono::steady_clock::now();
    forgetOld(now);
    Host& host = m_hosts[endpoint];
    if (!host.isAsked && now - host.askedAt >= std::max(host.interval, leastInterval)) {
        host.isAsked = true;
        host.askedAt = now;
        boost::asio::co_spawn(
            m_executor, [self = shared_from_this(), endpoint, now]() { return self->connect(endpoint, now); }, Core::logUncaughtException);
    }
    return host.answeredAt;
}

boost::asio::awaitable<void> HostProbes::connect(boost::asio::ip::tcp::endpoint endpoint, Time begunAt)
{
    boost::beast::tcp_stream stream(m_executor);
    boost::system::error_code ec = co_await connectStream(stream, endpoint, m_local, m_connectTimeout);
    Host& host = m_hosts[endpoint];
    host.isAsked = false;
    bool hasAnswered = !ec || ec == boost::asio::error::connection_refused;
    if (hasAnswered)
        host.answeredAt = begunAt;
    host.interval = hasAnswered ? leastInterval : std::min(2 * std::max(host.interval, leastInterval), longestInterval);
}

void HostProbes::forgetOld(Time now)
{
    std::erase_if(m_hosts, [now](std::pair<boost::asio::ip::tcp::endpoint const, Host> const& it) { return !it.second.isAsked && now - it.second.askedAt > rememberedFor; });
}

}
