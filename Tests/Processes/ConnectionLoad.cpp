#include "ConnectionLoad.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace Processes {

struct ConnectionLoad::Thread {
    std::size_t number { 0 };
    std::size_t callers { 0 };
    std::mt19937_64 rng;
    boost::asio::io_context context { 1 };
    std::vector<Unanswered> unanswered;
    std::thread thread;
};

ConnectionLoad::ConnectionLoad(KeyedSite const& site, ConnectionLoadSettings const& settings)
    : m_site(site)
    , m_settings(settings)
{
    for (std::size_t n = 0; n < m_settings.threads; ++n) {
        m_threads.push_back(std::make_unique<Thread>());
        Thread& thread = *m_threads.back();
        thread.number = n;
        thread.callers = m_settings.callers / m_settings.threads;
        thread.rng.seed(m_settings.seed * m_settings.threads + n);
        thread.thread = std::thread([this, &thread] { run(thread); });
    }
}

ConnectionLoad::~ConnectionLoad()
{
    stop();
}

void ConnectionLoad::stop()
{
    m_isStopped = true;
    for (std::unique_ptr<Thread> const& it : m_threads) {
        if (it->thread.joinable())
            it->thread.join();
    }
}

std::vector<Unanswered> ConnectionLoad::unanswered() const
{
    std::vector<Unanswered> all;
    for (std::unique_ptr<Thread> const& it : m_threads)
        all.insert(all.end(), it->unanswered.begin(), it->unanswered.end());
    return all;
}

void ConnectionLoad::run(Thread& thread)
{
    constexpr std::chrono::seconds patience { 8 }; // Longer than any route's time.
    Http::ClientSettings settings;
    settings.headTimeout = settings.pieceTimeout = patience;
    settings.keptPerEndpoint = thread.callers;
    std::unique_ptr<Http::Client> client = Http::Client::create(thread.context, settings);
    for (std::size_t n = 0; n < thread.callers; ++n)
        boost::asio::co_spawn(
            thread.context, [this, &thread, &client, n] { return ask(thread, *client, n); }, boost::asio::detached);
    thread.context.run();
}

boost::asio::awaitable<void> ConnectionLoad::ask(Thread& thread, Http::Client& client, std::size_t caller)
{
    boost::asio::steady_timer pause(thread.context);
    std::uniform_int_distribution<std::int64_t> pauses(0, m_settings.longestPause.count());
    for (std::size_t n = 0; !m_isStopped; ++n) {
        boost::system::error_code ec;
        pause.expires_after(std::chrono::milliseconds(pauses(thread.rng)));
        co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        std::size_t daemon = thread.rng() % KeyedSite::daemonCount();
        bool isSafe = n % 2 == 0;
        std::string id = "load-" + std::to_string(thread.number) + "-" + std::to_string(caller) + "-" + std::to_string(n);
        Http::Request request = KeyedSite::request(isSafe ? "GET" : "POST", isSafe ? "/s/1" : "/c/1", id);
        TimedAnswer answer = co_await askTimed(client, m_site.front(daemon), std::move(request));
        m_sent += answer.wasSent ? 1 : 0;
        if (answer.wasSent && !answer.response)
            thread.unanswered.push_back({ std::move(id), daemon, std::move(answer) });
    }
}

}
