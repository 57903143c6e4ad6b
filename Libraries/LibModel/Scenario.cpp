#include <LibModel/Scenario.h>
#include <algorithm>
#include <cmath>

namespace Model {

namespace {

constexpr double mostLong = 0.85;
constexpr double leastLong = 0.1;
constexpr double usualLoad = 0.7;

Scenario base(User user)
{
    Scenario it;
    it.user = user;
    it.workload.load = [](double) { return usualLoad; };
    if (user == User::Pensions) {
        // Contribution histories, then payroll clerks' short questions.
        it.workload.classes = { ClassShape { { 50, 400 }, { 200, 600 } }, ClassShape { { 4000, 12000 }, { 80, 200 } } };
        it.zones = 3;
    } else {
        // Roster files, then coordinators' quick questions. Each change is charged a minute of an engine.
        it.workload.classes = { ClassShape { { 30, 300 }, { 100, 400 } }, ClassShape { { 2000, 8000 }, { 150, 300 } } };
        it.zones = 4;
        it.changeCostSeconds = 60;
    }
    return it;
}

double ramp(double t, double from, double to)
{
    return std::clamp((t - from) / (to - from), 0.0, 1.0);
}

// Long prompts for `period` / 2, then short ones, with edges of `edge` seconds.
double alternate(double t, double period, double edge)
{
    double phase = std::fmod(t, period);
    double up = ramp(phase, 0, edge);
    double down = ramp(phase, period / 2, period / 2 + edge);
    double first = t < period ? 1 : up;
    return leastLong + (mostLong - leastLong) * (phase < period / 2 ? first : 1 - down);
}

// A new share every five seconds: a hash of the step's number, so that it is the same for every seed.
double noise(double t)
{
    std::uint64_t n = static_cast<std::uint64_t>(t / 5) + 1;
    n = (n ^ (n >> 30)) * 0xBF58476D1CE4E5B9ULL;
    n = (n ^ (n >> 27)) * 0x94D049BB133111EBULL;
    return 0.3 + 0.4 * static_cast<double>((n ^ (n >> 31)) >> 11) * 0x1.0p-53;
}

class List {
public:
    explicit List(User user)
        : m_user(user)
    {
    }

    Scenario& add(std::string name, std::string description, std::function<double(double)> longShare)
    {
        Scenario it = base(m_user);
        it.name = std::string(Core::nameOf(userNames, m_user)) + "/" + std::move(name);
        it.description = std::move(description);
        it.workload.longShare = std::move(longShare);
        m_scenarios.push_back(std::move(it));
        return m_scenarios.back();
    }

    void addMixes();
    void addFaults();
    void addLoads();

    std::vector<Scenario> m_scenarios;

private:
    User m_user;
};

double swing(double t)
{
    return alternate(t, 480, 30);
}

void List::addMixes()
{
    add("swing", "long prompts, then bursts of short questions, four minutes each", swing);
    add("day", "a slow swing over a day, a day being an hour here",
        [](double t) { return 0.475 + 0.375 * std::sin(t / 3600 * 2 * M_PI); })
        .workload.seconds
        = 3600;
    add("step", "one step from short to long within a minute", [](double t) { return leastLong + (mostLong - leastLong) * ramp(t, 400, 460); })
        .workload.seconds
        = 900;
    add("square", "a square wave of 40 s, about as fast as a change pays", [](double t) { return alternate(t, 40, 1); });
    add("noise", "a random mix every 5 s around an even one", noise);
}

void List::addFaults()
{
    add("engine-lost", "the swing, one engine of nine lost for good at 300 s", swing).engineLostAt = 300;
    add("zone-lost", "the swing at 0.5 of the load, a zone lost for good at 300 s", swing).zoneLostAt = 300;
    m_scenarios.back().workload.load = [](double) { return 0.5; };
    add("lag-0.1", "the swing, load reports 0.1 s late", swing).reportLagSeconds = 0.1;
    add("lag-1", "the swing, load reports 1 s late", swing).reportLagSeconds = 1;
    add("lag-5", "the swing, load reports 5 s late", swing).reportLagSeconds = 5;
}

void List::addLoads()
{
    for (int tenths = 5; tenths <= 15; tenths += 2) {
        double load = tenths / 10.0;
        std::string name = "load-" + std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
        add(name, "the swing, offered load " + name.substr(5) + " of what the engines can do", swing).workload.load = [load](double) { return load; };
    }
    add("flood", "the swing, one organisation sending as much again as all others for a third of the time", swing).workload.hasFlood = true;
}

}

std::vector<Scenario> allScenarios()
{
    std::vector<Scenario> scenarios;
    for (User user : { User::Pensions, User::Trikotwerk }) {
        List list(user);
        list.addMixes();
        list.addFaults();
        list.addLoads();
        scenarios.insert(scenarios.end(), list.m_scenarios.begin(), list.m_scenarios.end());
    }
    return scenarios;
}

}
