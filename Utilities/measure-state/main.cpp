// Measures what the configuration and the leases cost at a given size: docs/CAPACITY.md takes its slopes from
// here. Usage: currantvale-measure-state [TARGETS ORGANISATIONS POOLS]
#include <LibAuthority/LeaseFold.h>
#include <LibState/Fold.h>
#include <LibState/TargetView.h>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <malloc.h>
#include <string>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t editsInRecord = 1000;
constexpr std::size_t zoneCount = 11;
constexpr std::size_t modelCount = 15;

std::size_t heapBytes() { return mallinfo2().uordblks; }

/// Runs `work` `repeats` times; prints the shortest time and the growth of the heap in the first run.
void report(char const* what, int repeats, std::function<void()> const& work)
{
    double best = 1e9;
    std::size_t grown = 0;
    for (int n = 0; n < repeats; ++n) {
        std::size_t before = heapBytes();
        Clock::time_point start = Clock::now();
        work();
        best = std::min(best, std::chrono::duration<double, std::milli>(Clock::now() - start).count());
        if (n == 0)
            grown = heapBytes() - std::min(before, heapBytes());
    }
    std::printf("%-38s %12.4f ms %12zu bytes kept\n", what, best, grown);
}

std::string number(std::size_t n) { return std::to_string(n); }

State::Edit create(State::Kind kind, std::string const& name, State::Fields fields)
{
    return { { kind, name }, std::nullopt, std::move(fields) };
}

/// Operators' objects: labels on each target, a rule and a route for each organisation, a group for each zone and model.
std::vector<State::Edit> makeEdits(std::size_t targets, std::size_t organisations)
{
    std::vector<State::Edit> edits;
    for (std::size_t n = 0; n < targets; ++n)
        edits.push_back(create(State::Kind::Target, "engine-" + number(n), { { "labels", "tier=" + number(n % 4) + ",checks-fencing=yes,rack=" + number(n / 40) } }));
    for (std::size_t n = 0; n < organisations; ++n) {
        std::string organisation = "organisation=o" + number(n);
        edits.push_back(create(State::Kind::RequestRule, "o" + number(n), { { "when", organisation }, { "set", "tier=" + number(n % 4) + ",priority=" + number(n % 10) } }));
        edits.push_back(create(State::Kind::Route, "o" + number(n), { { "requests", organisation }, { "targets", "tier=" + number(n % 4) + ",pool in (p" + number(n % 165) + ",p" + number(n % 11) + "),!drain" } }));
    }
    for (std::size_t n = 0; n < zoneCount * modelCount; ++n)
        edits.push_back(create(State::Kind::Group, "g" + number(n), { { "targets", "pool=p" + number(n) }, { "roles", "prefill,decode" }, { "model", "m" + number(n % modelCount) } }));
    return edits;
}

std::vector<std::string> makeRecords(std::vector<State::Edit> const& edits)
{
    std::vector<std::string> records;
    for (std::size_t n = 0; n < edits.size(); n += editsInRecord) {
        std::vector<State::Edit> some(edits.begin() + static_cast<std::ptrdiff_t>(n), edits.begin() + static_cast<std::ptrdiff_t>(std::min(edits.size(), n + editsInRecord)));
        records.push_back(State::encode(State::LogRecord(State::ConfigRecord { { n / editsInRecord, n }, "measure", some })).value());
    }
    return records;
}

State::Fold foldAll(std::vector<std::string> const& records)
{
    State::Fold fold;
    for (std::string const& record : records) {
        if (fold.apply(fold.nextOffset(), record).value().applied != State::Applied::Accepted)
            std::abort();
    }
    return fold;
}

std::vector<State::PlatformTarget> makeTargets(std::size_t count)
{
    std::vector<State::PlatformTarget> targets;
    for (std::size_t n = 0; n < count; ++n) {
        std::string labels = "name=engine-" + number(n) + ",zone=z" + number(n % zoneCount) + ",region=r" + number(n % 3) + ",kind=engine,pool=p" + number(n % 165);
        targets.push_back({ "engine-" + number(n), Label::LabelSet::parse(labels).value() });
    }
    return targets;
}

void measureRequests(State::TargetView const& view, std::size_t organisations)
{
    constexpr std::size_t requests = 10'000;
    std::vector<Label::LabelSet> callers;
    for (std::size_t n = 0; n < requests; ++n)
        callers.push_back(Label::LabelSet::parse("organisation=o" + number(n * 7919 % organisations) + ",model=m1").value());
    std::size_t allowed = 0;
    report("10,000 requests: labels", 3, [&] {
        for (Label::LabelSet const& caller : callers)
            allowed += view.config().requestLabels(caller).size();
    });
    report("10,000 requests: allowed targets", 3, [&] {
        for (Label::LabelSet const& caller : callers)
            allowed += view.allowedTargets(caller).count();
    });
    std::printf("%-38s %12zu\n", "(targets and labels seen)", allowed);
}

void measureLeases(std::size_t pools)
{
    Authority::LeaseFold fold;
    std::vector<std::string> renewals;
    for (std::size_t n = 0; n < pools; ++n) {
        Authority::Holder holder { "entry-" + number(n % 410), "10.0.0.1:" + number(n), "0123456789abcdef" };
        static_cast<void>(fold.apply(n, Authority::encode(Authority::Claim { "p" + number(n), holder, std::nullopt, n })));
        renewals.push_back(Authority::encode(Authority::Renewal { { { "p" + number(n), n, n } } }));
    }
    std::size_t bytes = 0;
    report("one renewal of each lease", 3, [&] {
        bytes = 0;
        for (std::string const& renewal : renewals) {
            static_cast<void>(fold.apply(fold.nextOffset(), renewal));
            bytes += renewal.size();
        }
    });
    std::printf("%-38s %12zu bytes of records, %zu of snapshot\n", "leases", bytes, fold.snapshot().state().size());
}

std::size_t argument(int argc, char** argv, int n, std::size_t fallback)
{
    return argc > n ? static_cast<std::size_t>(std::strtoull(argv[n], nullptr, 10)) : fallback;
}

}

int main(int argc, char** argv)
{
    std::size_t targets = argument(argc, argv, 1, 6700);
    std::size_t organisations = std::max<std::size_t>(1, argument(argc, argv, 2, 24'000));
    std::size_t pools = argument(argc, argv, 3, zoneCount * modelCount);
    std::vector<State::Edit> edits = makeEdits(targets, organisations);
    std::vector<std::string> records = makeRecords(edits);
    std::size_t recordBytes = 0;
    for (std::string const& record : records)
        recordBytes += record.size();
    std::printf("targets %zu, organisations %zu, objects %zu, records %zu bytes\n", targets, organisations, edits.size(), recordBytes);

    State::Fold fold;
    report("fold of all objects", 1, [&] { fold = foldAll(records); });
    State::Snapshot snapshot = fold.snapshot();
    report("snapshot", 3, [&] { snapshot = fold.snapshot(); });
    std::printf("%-38s %12zu bytes\n", "size of the snapshot", snapshot.state().size());
    report("fold from the snapshot", 3, [&] { static_cast<void>(State::Fold::fromSnapshot(snapshot)); });
    report("one edit", 3, [&] {
        State::Edit edit = edits.front();
        edit.baseRevision = fold.find(edit.key)->revision;
        static_cast<void>(fold.apply(fold.nextOffset(), State::encode(State::LogRecord(State::ConfigRecord { { fold.nextOffset(), 1 }, "m", { edit } })).value()));
    });
    std::shared_ptr<State::Config const> config;
    report("configuration", 3, [&] { config.reset(); config = State::Config::create(fold.state()); });
    report("configuration after a target's edit", 3, [&] { config = State::Config::create(fold.state(), config); });
    std::vector<State::PlatformTarget> platformTargets = makeTargets(targets);
    std::shared_ptr<State::TargetView const> view;
    report("view of all targets", 3, [&] { view.reset(); view = State::TargetView::create(config, platformTargets); });
    measureRequests(*view, organisations);
    measureLeases(pools);
    return 0;
}
