#include "Records.h"
#include <LibState/TargetView.h>
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace State {

namespace {

rc::Gen<std::string> genSelector()
{
    return rc::gen::element<std::string>("zone=a", "zone!=a", "zone in (a,b)", "zone notin (b,c)", "tier", "!tier",
        "tier=x,zone=b", "tier!=x,!drain", "drain", "missing", "!missing", "missing=1", "missing!=1", "name=t3");
}

Label::LabelSet randomLabels()
{
    Label::LabelSet labels;
    for (char const* key : { "tier", "drain" }) {
        if (*rc::gen::arbitrary<bool>())
            RC_ASSERT(labels.set(key, *rc::gen::element<std::string>("x", "y", "")));
    }
    return labels;
}

}

/// What is worked out for all targets at once agrees with asking for each of them.
RC_GTEST_PROP(TargetView, AgreesWithConfigTargetByTarget, ())
{
    std::vector<std::pair<ObjectKey, Fields>> objects;
    std::vector<PlatformTarget> targets;
    int targetCount = *rc::gen::inRange(0, 70);
    for (int n = 0; n < targetCount; ++n) {
        std::string name = "t" + std::to_string(n);
        std::string zone = *rc::gen::element<std::string>("a", "b", "c");
        Label::LabelSet platformLabels = Label::LabelSet::parse("zone=" + zone).value();
        RC_ASSERT(platformLabels.set("name", name));
        targets.push_back({ name, platformLabels });
        objects.push_back({ targetKey(name), { { "labels", randomLabels().toString() } } });
    }
    int routeCount = *rc::gen::inRange(0, 5);
    for (int n = 0; n < routeCount; ++n) {
        std::string name = std::to_string(n);
        objects.push_back({ { Kind::Route, name }, { { "requests", *genSelector() }, { "targets", *genSelector() } } });
        objects.push_back({ { Kind::Group, name }, { { "targets", *genSelector() }, { "roles", *rc::gen::element<std::string>("prefill", "decode,mixed") } } });
    }
    std::shared_ptr<Config const> config = Config::create(stateOf(objects));
    std::shared_ptr<TargetView const> view = TargetView::create(config, targets);
    Label::LabelSet request = randomLabels();
    TargetSet allowed = view->allowedTargets(request);
    std::vector<std::uint32_t> expected;
    for (std::uint32_t n = 0; n < view->size(); ++n) {
        RC_ASSERT(view->labels(n) == config->labelsOf(targets[n].name, targets[n].platformLabels));
        RC_ASSERT(view->groupDecision(n) == config->groupDecision(view->labels(n)));
        RC_ASSERT(view->positionOf(targets[n].name) == n);
        RC_ASSERT(allowed.contains(n) == config->isAllowed(request, view->labels(n)));
        if (allowed.contains(n))
            expected.push_back(n);
    }
    RC_ASSERT(allowed.positions() == expected);
    RC_ASSERT(allowed.count() == expected.size());
    RC_ASSERT(!view->positionOf("other"));
}

}
