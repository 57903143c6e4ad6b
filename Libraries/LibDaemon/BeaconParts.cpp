#include <Control.pb.h>
#include <LibDaemon/BeaconParts.h>
#include <algorithm>
#include <array>
#include <cmath>

namespace Daemon {

void fillReport(Proto::ServiceReport& message, Routing::ServiceReport const& report)
{
    message.set_service(report.service);
    message.set_prompt_engines(static_cast<float>(report.demand.promptEngines));
    message.set_outputs(static_cast<float>(report.demand.outputs));
    message.set_kv_tokens(static_cast<float>(report.demand.kvTokens));
    message.set_setup_s(static_cast<float>(report.speed.promptCost.setupSeconds));
    message.set_token_s(static_cast<float>(report.speed.promptCost.secondsPerToken));
    message.set_million_pairs_s(static_cast<float>(report.speed.promptCost.secondsPerMillionPairs));
    message.set_prompts(report.speed.prompts);
    message.set_event_s(static_cast<float>(report.speed.eventSeconds));
    if (report.promptLoad)
        message.set_prompt_load(static_cast<float>(*report.promptLoad));
}

bool isUsable(Proto::ServiceReport const& message)
{
    std::array<float, 8> amounts { message.prompt_engines(), message.outputs(), message.kv_tokens(), message.setup_s(), message.token_s(), message.million_pairs_s(), message.event_s(), message.prompt_load() };
    return std::all_of(amounts.begin(), amounts.end(), [](float it) { return std::isfinite(it) && it >= 0; });
}

Routing::ServiceReport readReport(Proto::ServiceReport const& message)
{
    Routing::ServiceReport report;
    report.service = message.service();
    report.demand = { message.prompt_engines(), message.outputs(), message.kv_tokens() };
    report.speed.promptCost = { message.token_s(), message.million_pairs_s(), message.setup_s() };
    report.speed.prompts = message.prompts();
    report.speed.eventSeconds = message.event_s();
    if (message.has_prompt_load())
        report.promptLoad = message.prompt_load();
    return report;
}

void fillPlaceDemand(Proto::PlaceDemand& message, Admission::PlaceDemand const& demand)
{
    message.set_service(demand.service);
    for (Admission::OrganisationDemand const& it : demand.organisations) {
        Proto::OrganisationDemand* added = message.add_organisations();
        added->set_organisation(it.organisation);
        added->set_places(static_cast<float>(it.places));
    }
}

Admission::PlaceDemand readPlaceDemand(Proto::PlaceDemand const& message)
{
    Admission::PlaceDemand demand { message.service(), {} };
    for (Proto::OrganisationDemand const& it : message.organisations()) {
        if (std::isfinite(it.places()) && it.places() >= 0)
            demand.organisations.push_back({ it.organisation(), it.places() });
    }
    return demand;
}

void fillPaceSample(Proto::PaceSample& message, Routing::PaceSample const& sample)
{
    message.set_target(sample.target);
    message.set_kind(std::string(Core::nameOf(Routing::paceKindNames, sample.kind)));
    message.set_open(sample.open);
    message.set_answers(sample.answers);
    message.set_expected_s(static_cast<float>(sample.expectedSeconds));
    message.set_taken_s(static_cast<float>(sample.seconds));
}

std::optional<Routing::PaceSample> readPaceSample(Proto::PaceSample const& message)
{
    std::optional<Routing::PaceKind> kind = Core::valueOf(Routing::paceKindNames, message.kind());
    bool isUsable = kind && std::isfinite(message.expected_s()) && message.expected_s() >= 0 && std::isfinite(message.taken_s()) && message.taken_s() >= 0;
    if (!isUsable)
        return std::nullopt;
    return Routing::PaceSample { message.target(), *kind, message.open(), message.answers(), message.expected_s(), message.taken_s() };
}

}
