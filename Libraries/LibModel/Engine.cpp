#include <LibModel/Engine.h>
#include <algorithm>
#include <cassert>

namespace Model {

Engine::Engine(EngineSettings const& settings, Routing::TargetRole role)
    : m_settings(settings)
    , m_role(role)
    , m_cache(settings.cacheCapacityTokens)
{
}

void Engine::setRole(Routing::TargetRole role)
{
    m_role = role;
    m_cache.clear();
}

void Engine::enqueue(Job& job)
{
    job.promptLeft = job.isImported ? 0 : job.promptTokens;
    m_waiting[std::min<std::size_t>(job.priority, priorities - 1)].push_back(&job);
    ++m_waitingCount;
    m_waitingPromptTokens += job.promptLeft;
}

Job* Engine::nextWaiting()
{
    for (std::deque<Job*>& queue : m_waiting) {
        if (!queue.empty())
            return queue.front();
    }
    return nullptr;
}

void Engine::admit()
{
    while (Job* job = nextWaiting()) {
        if (m_running.size() + m_prompts.size() >= m_settings.maxRunning)
            return;
        // Prompts that no iteration could reach yet stay queued, so that a more urgent one can pass them.
        if (m_promptTokensAdmitted >= m_settings.aloneChunkTokens && !job->isImported)
            return;
        if (m_kvUsed + reserved(*job) > m_settings.kvCapacityTokens && m_kvUsed > 0)
            return;
        m_waiting[std::min<std::size_t>(job->priority, priorities - 1)].pop_front();
        --m_waitingCount;
        m_kvUsed += reserved(*job);
        if (job->isImported) {
            m_imported.push_back(job);
            run(*job, job->outputTokens);
            continue;
        }
        if (job->prefixHash != 0 && m_cache.use(job->prefixHash)) {
            std::uint32_t cached = std::min(job->prefixTokens, job->promptTokens - 1);
            job->promptLeft -= cached;
            m_waitingPromptTokens -= cached;
            job->cachedTokens = cached;
        }
        m_prompts.push_back(job);
        m_promptTokensAdmitted += job->promptLeft;
    }
}

void Engine::run(Job& job, std::uint32_t tokensLeft)
{
    job.iterationAtStart = m_iteration;
    job.slowAtStart = m_slowIterations;
    m_runningTokens += job.promptTokens + job.outputTokens / 2;
    m_running.push({ m_iteration + tokensLeft, m_order++, &job });
}

std::uint32_t Engine::planChunks()
{
    std::uint32_t budget = m_running.empty() ? m_settings.aloneChunkTokens : m_settings.chunkTokens;
    std::uint32_t planned = 0;
    for (Job* job : m_prompts) {
        std::uint32_t n = std::min(budget - planned, job->promptLeft);
        job->promptLeft -= n;
        planned += n;
        if (planned == budget)
            break;
    }
    return planned;
}

std::optional<Time> Engine::start(Time now)
{
    if (m_isIterating)
        return std::nullopt;
    admit();
    if (m_running.empty() && m_prompts.empty())
        return std::nullopt;
    std::uint32_t chunk = planChunks();
    m_chunk = chunk;
    m_promptTokensAdmitted -= chunk;
    m_duration = m_settings.baseSeconds + static_cast<double>(m_running.size()) * m_settings.secondsPerRunning
        + m_runningTokens / 1000.0 * m_settings.secondsPerThousandResident + chunk * m_settings.secondsPerPromptToken;
    m_isIterating = true;
    return now + std::chrono::duration_cast<Time::duration>(std::chrono::duration<double>(m_duration));
}

void Engine::finish(Time now, std::vector<Event>& events)
{
    assert(m_isIterating);
    m_isIterating = false;
    m_waitingPromptTokens -= m_chunk;
    m_chunk = 0;
    ++m_iteration;
    if (m_duration > tokenLimitSeconds)
        ++m_slowIterations;
    for (Job* job : m_imported) {
        job->hasFirstToken = true;
        job->firstToken = now;
        // The wait for the first token is judged by its own limit.
        job->slowAtStart = m_slowIterations;
        events.push_back({ Happening::FirstToken, job });
    }
    m_imported.clear();
    while (!m_running.empty() && m_running.top().lastIteration <= m_iteration) {
        Job* job = m_running.top().job;
        m_running.pop();
        job->slowTokens = static_cast<std::uint32_t>(m_slowIterations - job->slowAtStart);
        m_kvUsed -= reserved(*job);
        m_runningTokens -= job->promptTokens + job->outputTokens / 2;
        events.push_back({ Happening::Finished, job });
    }
    finishPrompts(now, events);
}

void Engine::finishPrompts(Time now, std::vector<Event>& events)
{
    while (!m_prompts.empty() && m_prompts.front()->promptLeft == 0) {
        Job* job = m_prompts.front();
        m_prompts.pop_front();
        if (job->prefixHash != 0)
            m_cache.store(job->prefixHash, job->prefixTokens);
        if (m_role == Routing::TargetRole::Prefill) {
            m_kvUsed -= reserved(*job);
            events.push_back({ Happening::PrefillDone, job });
            continue;
        }
        job->hasFirstToken = true;
        job->firstToken = now;
        events.push_back({ Happening::FirstToken, job });
        run(*job, std::max(1U, job->outputTokens - 1));
    }
}

void Engine::crash(std::vector<Job*>& jobs)
{
    for (std::deque<Job*>& queue : m_waiting) {
        jobs.insert(jobs.end(), queue.begin(), queue.end());
        queue.clear();
    }
    jobs.insert(jobs.end(), m_prompts.begin(), m_prompts.end());
    m_prompts.clear();
    for (; !m_running.empty(); m_running.pop())
        jobs.push_back(m_running.top().job);
    m_imported.clear();
    m_waitingCount = 0;
    m_waitingPromptTokens = 0;
    m_promptTokensAdmitted = 0;
    m_chunk = 0;
    m_kvUsed = 0;
    m_runningTokens = 0;
    m_isIterating = false;
    m_cache.clear();
}

Routing::LoadReport Engine::report(Time now) const
{
    std::uint32_t running = static_cast<std::uint32_t>(m_running.size() + m_prompts.size());
    return { now, running, static_cast<std::uint32_t>(m_waitingCount), static_cast<std::uint32_t>(m_waitingPromptTokens), m_kvUsed, m_settings.kvCapacityTokens };
}

}
