#include "servers/freshnessguard.h"
#include "tests/fakes/freshnessworld.h"
#include "tests/fakes/seeds.h"

#include <catch2/catch.hpp>

#include <cstdint>

using namespace citronspar;

namespace
{

bool isHolding(std::uint64_t seed, FreshnessDefect defect)
{
    FreshnessWorld world(seed, defect);
    world.run(std::chrono::seconds(60), true);
    return !world.isViolated();
}

}

TEST_CASE("[FreshnessGuard] No daemon serves on a version that an accepted one replaced two seconds ago")
{
    const std::uint64_t failing = findFailingSeed(Seeds(300), [](std::uint64_t seed) {
        return isHolding(seed, FreshnessDefect::None);
    });
    INFO("replay with CITRONSPAR_SEED=" << failing);
    CHECK(failing == 0);
}

TEST_CASE("[FreshnessGuard] The checker notices each broken version")
{
    const FreshnessDefect defect
        = GENERATE(FreshnessDefect::CountFromReceipt, FreshnessDefect::VouchAtOnce, FreshnessDefect::AcceptWhenCommitted,
                   FreshnessDefect::RosterInOneStep, FreshnessDefect::RelayWithoutAge, FreshnessDefect::ServeWhenCutOff);
    const std::uint64_t failing = findFailingSeed(Seeds(400), [defect](std::uint64_t seed) {
        return isHolding(seed, defect);
    });
    INFO("defect " << static_cast<int>(defect));
    CHECK(failing != 0);
}

TEST_CASE("[FreshnessGuard] Without faults every daemon serves and changes are accepted")
{
    FreshnessWorld world(1, FreshnessDefect::None);
    world.run(std::chrono::seconds(60), false);
    CHECK_FALSE(world.isViolated());
    CHECK(world.servedShare() > 0.95);
    CHECK(world.acceptedCount() > 10);
}

TEST_CASE("[FreshnessGuard] Serving goes on while the table is down for minutes")
{
    FreshnessWorld world(2, FreshnessDefect::None);
    world.run(std::chrono::seconds(20), false);
    world.setTableDown(true);
    world.run(std::chrono::minutes(5), false);
    CHECK(world.servedShare() > 0.95);
}

TEST_CASE("[FreshnessGuard] A herd that restarts with the table down serves nothing until one member has learnt")
{
    const TimePoint start{std::chrono::hours(1)};
    FreshnessGuard guard(FreshnessGuard::Settings(), "a", start);
    guard.applied(3, Roster{{"a", "b", "c"}, {}});
    for (int second = 0; second < 10; ++second) {
        const TimePoint now = start + std::chrono::seconds(second);
        const FreshnessGuard::QuestionId question = guard.ask(now);
        guard.memberAnswered(question, "b", 3, false);
        guard.memberAnswered(question, "c", 3, false);
        CHECK_FALSE(guard.isFresh(now));
    }
}

namespace
{

/**
 * The member a confirms version 2, restarts, and learns version 1 from b and c; then b confirms version 2.
 * @return whether version 2 was accepted while a third daemon counts as fresh on version 1
 */
bool isOldConfirmationCounted(Duration learnDelay)
{
    const TimePoint start{std::chrono::hours(1)};
    const Roster roster{{"a", "b", "c"}, {}};
    FreshnessGuard::Settings settings;
    settings.learnDelay = learnDelay;
    FreshnessGuard changer(settings, "x", start);
    changer.applied(2, roster);
    changer.memberAnswered(changer.ask(start), "a", 2, true);
    FreshnessGuard restarted(settings, "a", start + std::chrono::milliseconds(100));
    restarted.applied(1, roster);
    FreshnessGuard observer(settings, "y", start);
    observer.applied(1, roster);
    bool isAccepted = false;
    for (int step = 2; step < 100; ++step) {
        const TimePoint now = start + std::chrono::milliseconds(100) * step;
        const FreshnessGuard::QuestionId question = restarted.ask(now);
        restarted.memberAnswered(question, "b", isAccepted ? 2 : 1, true);
        restarted.memberAnswered(question, "c", 1, true);
        const FreshnessGuard::QuestionId observed = observer.ask(now);
        observer.memberAnswered(observed, "a", restarted.version(), restarted.canVouch());
        observer.memberAnswered(observed, "c", 1, true);
        if (restarted.canVouch()) {
            changer.memberAnswered(changer.ask(now), "b", 2, true);
            return changer.isAccepted(now) && observer.isFresh(now);
        }
    }
    return false;
}

}

TEST_CASE("[FreshnessGuard] A confirmation from before a restart does not complete a majority later")
{
    CHECK(isOldConfirmationCounted(Duration::zero()));
    CHECK_FALSE(isOldConfirmationCounted(FreshnessGuard::Settings().learnDelay));
}
