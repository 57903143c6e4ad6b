#include "StreamLoad.h"

#include <boost/asio/io_context.hpp>

namespace Processes {

namespace {

constexpr std::size_t workers = 9;
constexpr std::chrono::seconds deadline { 60 };

}

StreamLoad::StreamLoad(Entries entries, std::chrono::milliseconds round, Load::Shape shape)
    : m_entries(std::move(entries))
    , m_round(round)
    , m_shape(shape)
    , m_thread([this] { run(); })
{
}

StreamLoad::~StreamLoad()
{
    stop();
}

LoadCounts StreamLoad::stop()
{
    m_isStopped = true;
    if (m_thread.joinable())
        m_thread.join();
    return m_counts;
}

void StreamLoad::run()
{
    for (std::uint64_t seed = 1; !m_isStopped; ++seed)
        runRound(seed);
}

void StreamLoad::runRound(std::uint64_t seed)
{
    boost::asio::io_context context(1);
    Load::RunSettings settings;
    settings.plan.seed = seed;
    settings.plan.time = m_round;
    settings.plan.longPrompt = settings.plan.shortQuestion = m_shape;
    settings.sides.push_back({ "daemons", m_entries() });
    settings.model = std::string(modelName);
    settings.deadline = deadline;
    settings.workers = workers;
    std::shared_ptr<Load::Runner> runner = Load::Runner::create(context, settings);
    runner->onDone = [&context] { context.stop(); };
    Load::Runner::start(runner);
    context.run();
    Load::Summary const& summary = runner->summaries().front();
    m_counts.sent += summary.sent();
    m_counts.whole += summary.count(Load::Ending::Whole);
    m_received += summary.sent();
    if (summary.count(Load::Ending::Whole) != summary.sent())
        m_counts.text += summary.toText(runner->time());
}

}
