#include <LibModel/Oracle.h>
#include <LibModel/Simulation.h>
#include <LibRoles/Planner.h>
#include <cstdio>
#include <cstring>
#include <memory>
int main(int argc, char** argv)
{
    std::string want = argc > 1 ? argv[1] : "pensions/swing";
    for (Model::Scenario const& s : Model::allScenarios()) {
        if (s.name != want) continue;
        auto show = [&](char const* name, Model::RunSettings r) {
            Model::Figures f = Model::Simulation(s, r).run();
            std::printf("%-24s good/s %.3f offered %lu good %.3f late %lu slow %lu shed %lu lost %lu changes %u  short %.3f long %.3f\n", name, f.goodput(), f.all.offered, f.all.goodShare(), f.all.lateFirst, f.all.slow, f.all.shed, f.all.lost, f.roleChanges, f.byClass[0].goodShare(), f.byClass[1].goodShare());
        };
        auto roles = [](int p) { std::vector<Routing::TargetRole> r(9, Routing::TargetRole::Mixed); for (int i = 0; i < p; ++i) r[static_cast<std::size_t>(i)] = Routing::TargetRole::Prefill; return r; };
        auto admit = [&](Model::Job const& j, double wait, Model::Time) { return wait <= Model::firstTokenLimitSeconds(j, s.engine); };
        for (int p = 0; p < 9; ++p) {
            Model::RunSettings r;
            r.roles = roles(p); r.admit = admit;
            show(("fixed " + std::to_string(p)).c_str(), r);
        }
        for (auto const& [policy, name] : Roles::policyNames) {
            if (policy == Roles::Policy::Fixed) continue;
            Roles::Settings rs; rs.policy = policy;
            auto planner = std::make_shared<Roles::Planner>(Roles::Planner::create(rs).value());
            Model::RunSettings r; r.roles = roles(7); r.admit = admit;
            r.plan = [planner](Roles::FleetView const& v, double) { return planner->plan(v); };
            show(std::string(name).c_str(), r);
        }
        Roles::Settings rs;
        for (double lead : {0., 5., 10.}) for (double factor : {0.5, 1., 3.}) {
            auto oracle = std::make_shared<Model::Oracle>(s, rs, Model::Oracle::Settings { 5, lead, factor, 0 });
            Model::RunSettings r; r.roles = roles(oracle->first()); r.admit = admit;
            r.plan = [oracle](Roles::FleetView const& v, double t) { return oracle->plan(v, t); };
            char name[64]; std::snprintf(name, 64, "oracle lead %g factor %g", lead, factor);
            show(name, r);
        }
        for (auto const& [policy, name] : Routing::policyNames) {
            auto oracle = std::make_shared<Model::Oracle>(s, rs, Model::Oracle::Settings { 5, 5, 1, 0 });
            Model::RunSettings r; r.roles = roles(oracle->first()); r.admit = admit; r.routing.policy = policy;
            r.plan = [oracle](Roles::FleetView const& v, double t) { return oracle->plan(v, t); };
            show(std::string(name).c_str(), r);
        }
    }
}
