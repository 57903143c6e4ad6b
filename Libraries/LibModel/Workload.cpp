#include <LibModel/Workload.h>
#include <algorithm>
#include <cmath>

namespace Model {

using Roles::PromptClass;

namespace {

constexpr std::uint32_t floodingOrganisation = 0;

Time timeAt(double seconds)
{
    return Time(std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9)));
}

}

Workload::Workload(WorkloadSettings const& settings, EngineSettings const& engine, std::uint64_t seed)
    : m_settings(settings)
    , m_engine(engine)
    , m_rng(seed)
{
    double sum = 0;
    for (std::uint32_t i = 0; i < settings.organisations; ++i) {
        sum += 1.0 / (i + 1);
        m_organisationShares.push_back(sum);
    }
}

// The library's distributions differ between implementations; these two do not.
double Workload::drawUnit()
{
    return static_cast<double>(m_rng() >> 11) * 0x1.0p-53;
}

std::uint32_t Workload::drawFrom(TokenRange const& range)
{
    return range.least + static_cast<std::uint32_t>(drawUnit() * (range.most - range.least + 1));
}

double Workload::decodeRate() const
{
    double resident = m_engine.maxRunning * (m_settings.prefixTokens + 2000.0);
    return m_engine.maxRunning / (m_engine.baseSeconds + m_engine.maxRunning * m_engine.secondsPerRunning + resident / 1000 * m_engine.secondsPerThousandResident);
}

double Workload::workSeconds(PromptClass promptClass) const
{
    ClassShape const& shape = m_settings.classes[static_cast<std::size_t>(promptClass)];
    return shape.prompt.mean() * m_engine.secondsPerPromptToken + shape.output.mean() / decodeRate();
}

Roles::Demand Workload::demand(double seconds) const
{
    Roles::Demand demand;
    double work = m_settings.load(seconds) * m_settings.engines;
    double longShare = m_settings.longShare(seconds);
    for (PromptClass it : { PromptClass::Short, PromptClass::Long }) {
        ClassShape const& shape = m_settings.classes[static_cast<std::size_t>(it)];
        double rate = work * (it == PromptClass::Long ? longShare : 1 - longShare) / workSeconds(it);
        demand[static_cast<std::size_t>(it)] = { rate, rate * shape.prompt.mean(), rate * shape.output.mean() };
    }
    return demand;
}

void Workload::drawJob(Job& job, PromptClass promptClass)
{
    ClassShape const& shape = m_settings.classes[static_cast<std::size_t>(promptClass)];
    double place = drawUnit() * m_organisationShares.back();
    auto it = std::upper_bound(m_organisationShares.begin(), m_organisationShares.end(), place);
    job.organisation = 1 + static_cast<std::uint32_t>(std::min<std::ptrdiff_t>(it - m_organisationShares.begin(), m_settings.organisations - 1));
    job.promptClass = promptClass;
    // One in ten is urgent, two in ten can wait.
    double urgency = drawUnit();
    job.priority = urgency < 0.1 ? 1 : (urgency < 0.8 ? 5 : 8);
    job.prefixTokens = m_settings.prefixTokens;
    job.promptTokens = m_settings.prefixTokens + drawFrom(shape.prompt);
    job.outputTokens = drawFrom(shape.output);
    job.entry = static_cast<std::uint32_t>(drawUnit() * m_settings.entries);
}

std::vector<Job> Workload::draw()
{
    std::vector<Job> jobs;
    // Thinning: candidates at the highest rate, kept with the share that the rate of the moment has of it.
    double highest = 0;
    auto rateAt = [this](double t) {
        Roles::Demand it = demand(t);
        return it[0].requests + it[1].requests;
    };
    for (double t = 0; t < m_settings.seconds; t += 1)
        highest = std::max(highest, 1.05 * rateAt(t));
    bool hasFlood = m_settings.hasFlood;
    highest *= hasFlood ? 2 : 1;
    for (double t = 0; highest > 0;) {
        t += -std::log(1 - drawUnit()) / highest;
        if (t >= m_settings.seconds)
            break;
        Roles::Demand it = demand(t);
        double regular = it[0].requests + it[1].requests;
        bool isFlooded = hasFlood && t > m_settings.seconds / 3 && t < m_settings.seconds * 2 / 3;
        double draw = drawUnit() * highest;
        if (draw >= regular * (isFlooded ? 2 : 1))
            continue;
        Job job;
        job.arrival = timeAt(t);
        drawJob(job, drawUnit() * regular < it[1].requests ? PromptClass::Long : PromptClass::Short);
        if (draw >= regular)
            job.organisation = floodingOrganisation;
        job.prefixHash = 0x9E3779B97F4A7C15ULL * (job.organisation + 1);
        jobs.push_back(job);
    }
    return jobs;
}

}
