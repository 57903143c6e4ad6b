#include <LibStandIn/EngineCore.h>

#include <LibStandIn/ExpectedText.h>
#include <algorithm>
#include <cmath>

namespace StandIn {

using std::chrono::duration;
using std::chrono::nanoseconds;

namespace {

/// Tokens are counted as whole from this far below, since rates are floating-point numbers.
constexpr double tokenSlack = 1e-6;
constexpr std::chrono::milliseconds loadResolution { 1 };

nanoseconds roundUp(double seconds)
{
    constexpr double longest = 3600;
    return nanoseconds(static_cast<std::int64_t>(std::min(seconds, longest) * 1e9) + 1);
}

}

Core::Result<EngineCore> EngineCore::create(EngineSettings settings, Time now)
{
    for (double rate : { settings.prefillTokensPerSecond, settings.decodeTokensPerSecond, settings.streamTokensPerSecond }) {
        if (!(rate > 0) || !std::isfinite(rate))
            return Core::fail(Core::ErrorCode::BadInput, "Token rates must be above 0.");
    }
    if (settings.maximumRunning == 0)
        return Core::fail(Core::ErrorCode::BadInput, "The number of running requests must be at least 1.");
    if (settings.kvCapacityTokens < PromptCache::tokensPerBlock)
        return Core::fail(Core::ErrorCode::BadInput, "The KV capacity must be at least 64 tokens.");
    return EngineCore(std::move(settings), now);
}

EngineCore::EngineCore(EngineSettings settings, Time now)
    : m_settings(std::move(settings))
    , m_control(m_settings.configuration, m_settings.checksFencing, m_settings.changeTime)
    , m_cache(m_settings.kvCapacityTokens, m_settings.loadLag)
    , m_now(now)
{
    m_loads.push_back({ .since = now });
}

Core::Result<void> EngineCore::checkTakes(EngineRequest const& request) const
{
    if (m_faults.refuses || m_control.phase() != Phase::Serving)
        return Core::fail(Core::ErrorCode::Unavailable, "The engine is draining or changing.");
    if (m_canceledEarly.contains(request.id))
        return Core::fail(Core::ErrorCode::Unavailable, "The request was cancelled before it arrived.");
    EngineConfiguration const& it = m_control.configuration();
    if (!request.model.empty() && request.model != it.model && request.model != it.adapter)
        return Core::fail(Core::ErrorCode::Unavailable, "The engine serves the model '" + it.model + "'.");
    if (it.role == Role::Prefill && !request.isPrefillOnly)
        return Core::fail(Core::ErrorCode::Unavailable, "The engine's role is prefill.");
    if (it.role == Role::Decode && !request.hasImportedCache)
        return Core::fail(Core::ErrorCode::Unavailable, "The engine's role is decode.");
    if (countTokens(request.prompt) + request.maximumTokens > m_settings.kvCapacityTokens)
        return Core::fail(Core::ErrorCode::BadInput, "The request needs more KV cache than the engine has.");
    if (m_streams.contains(request.id))
        return Core::fail(Core::ErrorCode::Conflict, "The request id was seen before.");
    return Core::ok();
}

Core::Result<void> EngineCore::start(EngineRequest const& request, Time now)
{
    advance(now);
    BOOST_OUTCOME_TRYV(checkTakes(request));
    EngineStream stream;
    stream.seed = answerSeed(request.prompt);
    stream.model = m_control.configuration().model;
    stream.isChat = request.isChat;
    stream.promptTokens = countTokens(request.prompt);
    stream.maximumTokens = request.isPrefillOnly ? 0 : request.maximumTokens;
    stream.isPrefillOnly = request.isPrefillOnly;
    m_waitingPromptTokens += stream.promptTokens;
    m_streams.emplace(request.id, stream);
    m_waiting.emplace(std::pair(request.priority, m_arrivals++), request);
    admit(m_now);
    recordLoad(m_now);
    return Core::ok();
}

void EngineCore::admit(Time now)
{
    while (!m_waiting.empty() && m_running.size() < m_settings.maximumRunning) {
        EngineRequest const& request = m_waiting.begin()->second;
        EngineStream const& stream = m_streams.at(request.id);
        std::uint64_t kvTokens = stream.promptTokens + stream.maximumTokens;
        if (m_kvUsedTokens + kvTokens > m_settings.kvCapacityTokens)
            return;
        Running running { .id = request.id, .kvTokens = kvTokens };
        if (!request.hasImportedCache) {
            std::uint64_t hits = m_cache.use(request.prompt, now);
            running.remainingPrefill = static_cast<double>(std::max<std::uint64_t>(stream.promptTokens - std::min(hits, stream.promptTokens), 1));
        }
        m_kvUsedTokens += kvTokens;
        m_waitingPromptTokens -= stream.promptTokens;
        m_running.push_back(std::move(running));
        m_waiting.erase(m_waiting.begin());
    }
}

EngineCore::Running* EngineCore::currentPrefill()
{
    auto it = std::ranges::find_if(m_running, [](Running const& running) { return running.remainingPrefill > 0; });
    return it == m_running.end() ? nullptr : &*it;
}

EngineCore::Running const* EngineCore::currentPrefill() const
{
    return const_cast<EngineCore*>(this)->currentPrefill();
}

EngineCore::Rates EngineCore::rates() const
{
    std::ptrdiff_t decoding = std::ranges::count_if(m_running, [](Running const& it) { return it.remainingPrefill <= 0; });
    bool hasPrefill = static_cast<std::size_t>(decoding) < m_running.size();
    double share = hasPrefill && decoding > 0 ? 0.5 : 1;
    Rates rates;
    if (hasPrefill)
        rates.prefill = share * m_settings.prefillTokensPerSecond;
    if (decoding > 0)
        rates.decode = std::min(share * m_settings.decodeTokensPerSecond / static_cast<double>(decoding), m_settings.streamTokensPerSecond);
    return rates;
}

double EngineCore::secondsToChange(Rates rates) const
{
    double seconds = std::numeric_limits<double>::infinity();
    if (Running const* prefill = currentPrefill())
        seconds = prefill->remainingPrefill / rates.prefill;
    for (Running const& it : m_running) {
        if (it.remainingPrefill <= 0)
            seconds = std::min(seconds, std::max(0.0, static_cast<double>(m_streams.at(it.id).maximumTokens) - it.tokens) / rates.decode);
    }
    return seconds;
}

void EngineCore::progress(double seconds)
{
    Rates current = rates();
    Running* prefill = currentPrefill();
    for (Running& it : m_running) {
        if (&it == prefill)
            it.remainingPrefill -= current.prefill * seconds;
        else if (it.remainingPrefill <= 0)
            it.tokens += current.decode * seconds;
    }
    // A prompt's last step also gives the answer's first token, as in real engines.
    if (prefill && prefill->remainingPrefill <= tokenSlack) {
        prefill->remainingPrefill = 0;
        prefill->tokens = 1;
    }
}

void EngineCore::finishDue(Time now)
{
    std::vector<std::string> changed;
    std::vector<std::string> finished;
    for (Running const& it : m_running) {
        EngineStream& stream = m_streams.at(it.id);
        bool wasPrefilled = stream.isPrefilled;
        stream.isPrefilled = it.remainingPrefill <= 0;
        std::uint64_t tokens = std::min(static_cast<std::uint64_t>(it.tokens + tokenSlack), stream.maximumTokens);
        bool hasChanged = tokens != stream.tokens || stream.isPrefilled != wasPrefilled;
        stream.tokens = tokens;
        stream.isFinished = stream.isPrefilled && tokens == stream.maximumTokens;
        if (hasChanged || stream.isFinished)
            changed.push_back(it.id);
        if (stream.isFinished)
            finished.push_back(it.id);
    }
    for (std::string const& it : finished)
        end(it);
    if (!finished.empty()) {
        admit(now);
        recordLoad(now);
    }
    for (std::string const& it : changed) {
        if (onProgress)
            onProgress(it);
    }
}

void EngineCore::advance(Time now)
{
    while (m_now < now) {
        m_control.advance(isIdle(), m_now);
        if (m_running.empty() || m_faults.stalls) {
            std::optional<Time> deadline = m_control.nextDeadline();
            m_now = deadline && *deadline > m_now ? std::min(*deadline, now) : now;
            continue;
        }
        nanoseconds step = std::min<nanoseconds>(now - m_now, roundUp(secondsToChange(rates())));
        progress(duration<double>(step).count());
        m_now += step;
        finishDue(m_now);
    }
    m_control.advance(isIdle(), m_now);
}

std::optional<EngineCore::Time> EngineCore::nextDeadline() const
{
    if (m_running.empty() || m_faults.stalls)
        return m_control.nextDeadline();
    Rates current = rates();
    double seconds = secondsToChange(current);
    for (Running const& it : m_running) {
        if (it.remainingPrefill <= 0)
            seconds = std::min(seconds, (std::floor(it.tokens + tokenSlack) + 1 - it.tokens) / current.decode);
    }
    return m_now + roundUp(seconds);
}

EngineStream const* EngineCore::find(std::string const& id) const
{
    auto it = m_streams.find(id);
    return it == m_streams.end() ? nullptr : &it->second;
}

CancelOutcome EngineCore::cancel(std::string const& id, Time now)
{
    advance(now);
    auto it = m_streams.find(id);
    if (it == m_streams.end()) {
        if (m_canceledEarly.insert(id).second)
            m_canceledEarlyOrder.push_back(id);
        if (m_canceledEarlyOrder.size() > keptEnded) {
            m_canceledEarly.erase(m_canceledEarlyOrder.front());
            m_canceledEarlyOrder.pop_front();
        }
        return CancelOutcome::Unknown;
    }
    if (it->second.isFinished)
        return CancelOutcome::Finished;
    if (it->second.isCanceled)
        return CancelOutcome::Canceled;
    it->second.isCanceled = true;
    end(id);
    admit(now);
    recordLoad(now);
    m_control.advance(isIdle(), m_now);
    if (onProgress)
        onProgress(id);
    return CancelOutcome::Canceled;
}

void EngineCore::end(std::string const& id)
{
    auto running = std::ranges::find(m_running, id, &Running::id);
    if (running != m_running.end()) {
        m_kvUsedTokens -= running->kvTokens;
        m_running.erase(running);
    } else {
        auto waiting = std::ranges::find_if(m_waiting, [&](auto const& it) { return it.second.id == id; });
        if (waiting != m_waiting.end()) {
            m_waitingPromptTokens -= m_streams.at(id).promptTokens;
            m_waiting.erase(waiting);
        }
    }
    m_ended.push_back(id);
    if (m_ended.size() > keptEnded) {
        m_streams.erase(m_ended.front());
        m_ended.pop_front();
    }
}

Core::Result<void> EngineCore::order(EngineOrder const& order, Time now)
{
    advance(now);
    BOOST_OUTCOME_TRYV(m_control.order(order));
    m_control.crashesDuringChange = m_faults.crashesDuringChange;
    m_control.advance(isIdle(), m_now);
    return Core::ok();
}

std::string EngineCore::exportCache(std::string const& id)
{
    std::string handle = "kv-" + id;
    m_exported[handle] = m_streams.at(id).promptTokens;
    return handle;
}

std::optional<std::uint64_t> EngineCore::exportedTokens(std::string const& handle) const
{
    auto it = m_exported.find(handle);
    if (it == m_exported.end())
        return std::nullopt;
    return it->second;
}

EngineLoad EngineCore::currentLoad() const
{
    return { m_running.size(), m_waiting.size(), m_waitingPromptTokens, m_kvUsedTokens, m_now };
}

void EngineCore::recordLoad(Time now)
{
    EngineLoad load = currentLoad();
    if (now - m_loads.back().since < loadResolution) {
        load.since = m_loads.back().since;
        m_loads.back() = load;
    } else {
        m_loads.push_back(load);
    }
    while (m_loads.size() > 1 && m_loads[1].since + m_settings.loadLag <= now)
        m_loads.pop_front();
}

EngineLoad EngineCore::reportedLoad(Time now)
{
    advance(now);
    while (m_loads.size() > 1 && m_loads[1].since + m_settings.loadLag <= now)
        m_loads.pop_front();
    return m_loads.front();
}

}
