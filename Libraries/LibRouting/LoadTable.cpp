#include <LibRouting/LoadTable.h>
#include <algorithm>
#include <cassert>
#include <cmath>

namespace Routing {

Core::Result<LoadTable> LoadTable::create(Settings settings)
{
    if (settings.interval.count() <= 0 || settings.intervals == 0 || !(settings.rateSeconds > 0))
        return Core::fail(Core::ErrorCode::BadInput, "A load table needs an interval, a number of intervals and a time constant above 0.");
    return LoadTable(settings);
}

void LoadTable::resize(std::size_t n)
{
    std::size_t known = m_targets.size();
    m_targets.resize(n);
    for (std::size_t i = known; i < n; ++i)
        m_targets[i].intervals.resize(m_settings.intervals);
}

std::int64_t LoadTable::intervalOf(Time time) const
{
    return time.time_since_epoch() / std::chrono::duration_cast<Time::duration>(m_settings.interval);
}

double LoadTable::drained(double backlog, Time from, Time to) const
{
    if (m_settings.promptTokensPerSecond <= 0 || to <= from)
        return backlog;
    return std::max(0.0, backlog - m_settings.promptTokensPerSecond * std::chrono::duration<double>(to - from).count());
}

bool LoadTable::report(std::size_t target, LoadReport const& report)
{
    assert(target < m_targets.size());
    Target& it = m_targets[target];
    if (it.report && report.asOf <= it.report->asOf)
        return false;
    it.report = report;
    // The report's own interval stays counted: a brief overestimate is better than an underestimate.
    std::int64_t firstKept = intervalOf(report.asOf);
    std::int64_t end = std::min(firstKept, it.firstKept + static_cast<std::int64_t>(it.intervals.size()));
    for (std::int64_t number = it.firstKept; number < end; ++number)
        clearInterval(it, number, firstKept);
    it.firstKept = firstKept;
    replay(it);
    return true;
}

// Clears the slot of an interval, unless a later interval that the report does not include occupies it.
void LoadTable::clearInterval(Target& target, std::int64_t number, std::int64_t firstKept)
{
    Interval& interval = target.intervals[static_cast<std::size_t>(number) % target.intervals.size()];
    if (interval.number < 0 || interval.number >= firstKept)
        return;
    target.requests -= interval.requests;
    interval = Interval {};
}

// Recomputes the backlog from the report, draining and adding interval by interval.
void LoadTable::replay(Target& target) const
{
    Time::duration width = m_settings.interval;
    double backlog = target.report->waitingPromptTokens;
    Time time = target.report->asOf;
    std::int64_t last = std::max(intervalOf(target.backlogTime), target.firstKept);
    std::int64_t first = std::max(target.firstKept, last + 1 - static_cast<std::int64_t>(target.intervals.size()));
    for (std::int64_t number = first; number <= last; ++number) {
        Interval const& interval = target.intervals[static_cast<std::size_t>(number) % target.intervals.size()];
        if (interval.number != number)
            continue;
        Time middle = Time(width * number + width / 2);
        backlog = drained(backlog, time, middle) + interval.promptTokens;
        time = std::max(time, middle);
    }
    target.backlog = backlog;
    target.backlogTime = time;
}

void LoadTable::count(std::size_t target, LoadCounts const& counts, Time now)
{
    assert(target < m_targets.size());
    Target& it = m_targets[target];
    std::int64_t number = intervalOf(now);
    if (number < it.firstKept)
        return;
    Interval& interval = it.intervals[static_cast<std::size_t>(number) % it.intervals.size()];
    if (interval.number > number)
        return;
    bool isDraining = m_settings.promptTokensPerSecond > 0;
    if (interval.number != number) {
        it.requests -= interval.requests;
        it.backlog -= isDraining ? 0 : interval.promptTokens;
        interval = Interval { number, 0, 0 };
    }
    std::int32_t requests = static_cast<std::int32_t>(counts.requestsSent) - static_cast<std::int32_t>(counts.requestsEnded);
    std::int32_t tokens = static_cast<std::int32_t>(counts.promptTokensSent);
    // A finished prompt may have been partly computed at the report's snapshot: subtracting all of it would count twice.
    tokens -= isDraining ? 0 : static_cast<std::int32_t>(counts.promptTokensDone);
    interval.requests += requests;
    interval.promptTokens += tokens;
    it.requests += requests;
    it.backlog = drained(it.backlog, it.backlogTime, now) + tokens;
    it.backlogTime = std::max(it.backlogTime, now);
    double decay = rateDecay(it, now);
    it.promptRate = decay * it.promptRate + counts.promptsSent / m_settings.rateSeconds;
    it.tokenRate = decay * it.tokenRate + counts.promptTokensSent / m_settings.rateSeconds;
    it.rateTime = std::max(it.rateTime, now);
}

double LoadTable::rateDecay(Target const& target, Time now) const
{
    double seconds = std::chrono::duration<double>(now - target.rateTime).count();
    return std::exp(-std::max(0.0, seconds) / m_settings.rateSeconds);
}

void LoadTable::forget(std::size_t target)
{
    assert(target < m_targets.size());
    m_targets[target] = Target {};
    m_targets[target].intervals.resize(m_settings.intervals);
}

Load LoadTable::load(std::size_t target, Time now) const
{
    assert(target < m_targets.size());
    Target const& it = m_targets[target];
    Load load;
    if (it.report) {
        load.running = it.report->running;
        load.waiting = it.report->waiting;
        load.waitingPromptTokens = it.report->waitingPromptTokens;
        load.kvUsedTokens = it.report->kvUsedTokens;
        load.kvCapacityTokens = it.report->kvCapacityTokens;
        load.ageSeconds = std::max(0.0F, std::chrono::duration<float>(now - it.report->asOf).count());
    }
    load.requestsSince = it.requests;
    load.promptTokensSince = static_cast<std::int32_t>(drained(it.backlog, it.backlogTime, now)) - static_cast<std::int32_t>(load.waitingPromptTokens);
    float decay = static_cast<float>(rateDecay(it, now));
    load.promptsPerSecond = decay * static_cast<float>(it.promptRate);
    load.promptTokensPerSecond = decay * static_cast<float>(it.tokenRate);
    return load;
}

}
