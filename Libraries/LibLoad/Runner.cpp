#include <LibLoad/Runner.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Load {

using std::chrono::nanoseconds;

namespace {

constexpr std::string_view verdictHeader = "Currantvale-Verdict";
constexpr std::uint16_t okStatus = 200;
constexpr std::uint16_t unavailableStatus = 503;

Http::ClientSettings clientSettings(RunSettings const& settings)
{
    Http::ClientSettings client;
    client.headTimeout = settings.deadline * 2;
    client.pieceTimeout = settings.deadline * 2;
    client.keptPerEndpoint = settings.openLimit;
    return client;
}

/// A response that is no answer: what its verdict says. An engine's 503 is an explicit refusal.
Ending endingOfError(Http::ResponseHead const& head)
{
    std::optional<std::string_view> verdict = head.fields.find(verdictHeader);
    if (verdict)
        return endingOf(*verdict);
    return head.status == unavailableStatus ? Ending::NotRun : Ending::NoAnswer;
}

}

std::shared_ptr<Runner> Runner::create(boost::asio::io_context& context, RunSettings settings)
{
    return std::shared_ptr<Runner>(new Runner(context, std::move(settings)));
}

Runner::Runner(boost::asio::io_context& context, RunSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_client(Http::Client::create(context, clientSettings(m_settings)))
    , m_summaries(m_settings.sides.size(), Summary(m_settings.deadline))
{
}

void Runner::start(std::shared_ptr<Runner> const& self)
{
    self->m_start = self->m_lastEnd = Clock::now();
    self->m_senders = std::max<std::size_t>(self->m_settings.workers, 1);
    if (self->m_settings.workers == 0)
        boost::asio::co_spawn(self->m_context, sendArrivals(self), boost::asio::detached);
    for (std::size_t i = 0; i < self->m_settings.workers; ++i)
        boost::asio::co_spawn(self->m_context, sendInTurn(self), boost::asio::detached);
}

boost::asio::awaitable<void> Runner::sendArrivals(std::shared_ptr<Runner> self)
{
    boost::asio::steady_timer timer(self->m_context);
    std::vector<Arrival> arrivals = planArrivals(self->m_settings.plan);
    for (Arrival const& it : arrivals) {
        timer.expires_at(self->m_start + it.at);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        std::uint64_t index = self->m_nextIndex++;
        if (self->m_open < self->m_settings.openLimit)
            boost::asio::co_spawn(self->m_context, sendOne(self, index, it.shape), boost::asio::detached);
        else
            self->m_summaries[index % self->m_summaries.size()].addUnsent();
    }
    --self->m_senders;
    self->endIfDone();
}

boost::asio::awaitable<void> Runner::sendInTurn(std::shared_ptr<Runner> self)
{
    while (Clock::now() < self->m_start + self->m_settings.plan.time && self->m_nextIndex < self->m_settings.plan.limit) {
        std::uint64_t index = self->m_nextIndex++;
        co_await sendOne(self, index, shapeAt(self->m_settings.plan, Clock::now() - self->m_start));
    }
    --self->m_senders;
    self->endIfDone();
}

boost::asio::awaitable<void> Runner::sendOne(std::shared_ptr<Runner> self, std::uint64_t index, Shape shape)
{
    self->m_mostOpen = std::max(self->m_mostOpen, ++self->m_open);
    Sample sample;
    std::string prompt = promptOf(self->m_settings.plan.seed, index, shape.promptTokens);
    Http::Request request = self->requestOf(prompt, shape);
    boost::asio::ip::tcp::endpoint endpoint = self->endpointOf(index);
    Clock::time_point begun = Clock::now();
    Core::Result<std::unique_ptr<Http::Exchange>> exchange = co_await self->m_client->open(endpoint, std::move(request), Http::ConnectionChoice::Kept);
    if (exchange) {
        Http::Exchange& open = *exchange.value();
        co_await receive(open, prompt, shape, self->m_settings.isStreamed, sample);
    }
    self->m_lastEnd = Clock::now();
    sample.total = self->m_lastEnd - begun;
    sample.firstToken = sample.firstTokenAt - begun;
    self->end(index % self->m_summaries.size(), sample);
}

boost::asio::awaitable<void> Runner::receive(Http::Exchange& exchange, std::string const& prompt, Shape shape, bool isStreamed, Sample& sample)
{
    bool isOk = exchange.head().status == okStatus;
    AnswerCheck check(prompt, shape.outputTokens);
    std::string whole;
    bool hasEnded = false;
    while (true) {
        Core::Result<std::optional<std::string>> piece = co_await exchange.read();
        hasEnded = piece && !piece.value();
        if (!piece || hasEnded)
            break;
        Clock::time_point now = Clock::now();
        std::uint64_t tokens = isStreamed ? check.add(*piece.value()) : 0;
        if (!isStreamed)
            whole += *piece.value();
        if (tokens > 0 && sample.tokens > 0)
            sample.gaps.push_back(now - sample.lastTokenAt);
        if (sample.tokens == 0)
            sample.firstTokenAt = now;
        if (tokens > 0)
            sample.lastTokenAt = now;
        sample.tokens += tokens;
    }
    if (!isOk)
        sample.ending = endingOfError(exchange.head());
    else if (isStreamed)
        sample.ending = check.ending();
    else
        sample.ending = hasEnded ? checkWhole(whole, prompt, shape.outputTokens) : Ending::Cut;
    if (isOk && !isStreamed)
        sample.tokens = shape.outputTokens;
}

Http::Request Runner::requestOf(std::string const& prompt, Shape shape) const
{
    boost::json::object body { { "model", m_settings.model }, { "prompt", prompt }, { "max_tokens", shape.outputTokens }, { "stream", m_settings.isStreamed } };
    Http::Request request { "POST", "/v1/completions", m_settings.fields, boost::json::serialize(body) };
    request.fields.set("Content-Type", "application/json");
    return request;
}

boost::asio::ip::tcp::endpoint Runner::endpointOf(std::uint64_t index) const
{
    std::vector<boost::asio::ip::tcp::endpoint> const& endpoints = m_settings.sides[index % m_settings.sides.size()].endpoints;
    return endpoints[index / m_settings.sides.size() % endpoints.size()];
}

void Runner::end(std::size_t side, Sample const& sample)
{
    m_summaries[side].add(sample);
    --m_open;
    endIfDone();
}

void Runner::endIfDone()
{
    if (m_open == 0 && m_senders == 0 && onDone)
        onDone();
}

}
