#include "servers/rollouts/versionaccess.h"

#include <catch2/catch.hpp>

#include <optional>
#include <set>
#include <string>

using namespace citronspar;

namespace
{

const TimePoint start{std::chrono::hours(1)};
constexpr Duration second = std::chrono::seconds(1);
constexpr Duration validity = std::chrono::milliseconds(1000);

RolloutOrder orderTo(const std::string &to, std::int64_t id, std::int64_t era = 1)
{
    RolloutOrder order;
    order.service = "service";
    order.to = to;
    order.deadline = 20 * second;
    order.id = id;
    order.era = era;
    return order;
}

RolloutRow rowOf(const RolloutOrder &order, RolloutPhase phase, const std::vector<std::string> &from = {"v1"})
{
    RolloutRow row;
    row.order = order.id;
    row.era = order.era;
    row.to = order.to;
    row.from = from;
    row.phase = phase;
    row.deadline = order.deadline;
    return row;
}

RolloutPermit permitOf(std::int64_t granted, RolloutPhase phase = RolloutPhase::Canary)
{
    RolloutPermit permit;
    permit.isHolder = true;
    permit.phase = phase;
    permit.granted = granted;
    permit.share = phase == RolloutPhase::Raising ? 0.5 : 0;
    permit.validity = validity;
    permit.canaryEndpoints = 2;
    return permit;
}

using Versions = std::set<std::string>;

/** An entry daemon that knows v1 for longer than v2. */
struct Entry
{
    VersionAccess access;
    TimePoint now = start;

    Entry()
    {
        access.setListed({{"v1", start - 100 * second}, {"v2", start - second}}, now);
    }

    /** The versions that an attempt must not go to. */
    Versions excluded(const std::string &route = "route")
    {
        const std::optional<VersionAccess::Access> decision = access.decide(route, std::nullopt, now);
        REQUIRE(decision);
        return decision->excluded;
    }

    bool isPinnedAllowed(const std::string &version)
    {
        return access.decide("route", version, now).has_value();
    }

    /** Orders v2 and brings the row to a phase. */
    void order(RolloutPhase phase, std::int64_t id = 5)
    {
        access.setOrder(orderTo("v2", id), now);
        access.setRow(rowOf(orderTo("v2", id), phase), now);
    }
};

}

// Guards against requests for a version that no order has named.
TEST_CASE("VersionAccess keeps to the versions in use without an order", "[VersionAccess]")
{
    Entry entry;
    CHECK(entry.excluded() == Versions{"v2"});
    CHECK_FALSE(entry.isPinnedAllowed("v2"));
    CHECK(entry.isPinnedAllowed("v1"));
    CHECK_FALSE(entry.access.isReporting(entry.now));
    // A release without an order is no reason to serve nobody.
    entry.access.setListed({{"v2", start - second}}, entry.now);
    CHECK(entry.excluded().count("v2") == 0);
    entry.access.setListed({{"v1", start}, {"v2", start - second}}, entry.now);
    CHECK(entry.excluded() == Versions{"v2"});
}

// Guards against exclusion where there is no choice: daemons that list both versions from the start know no order between them.
TEST_CASE("VersionAccess excludes nothing if all versions are known for equally long", "[VersionAccess]")
{
    VersionAccess access;
    access.setListed({{"v1", start}, {"v2", start}}, start);
    const std::optional<VersionAccess::Access> decision = access.decide("route", std::nullopt, start);
    REQUIRE(decision);
    CHECK(decision->excluded.empty());
}

// Guards against requests beyond the grants, and grants that are used after they have expired.
TEST_CASE("VersionAccess uses the new version by grants only in canary", "[VersionAccess]")
{
    Entry entry;
    entry.order(RolloutPhase::Canary);
    CHECK(entry.access.isReporting(entry.now));
    CHECK(entry.excluded() == Versions{"v2"});
    entry.now += second;
    entry.access.setPermit(permitOf(3), entry.now, entry.now);
    std::optional<VersionAccess::Access> decision = entry.access.decide("route", std::nullopt, entry.now);
    REQUIRE(decision);
    CHECK(decision->required == "v2");
    CHECK(decision->excluded == Versions{"v1"});
    CHECK(decision->canaryEndpoints == 2);
    CHECK(entry.access.maySend("v2", true, false, entry.now));
    CHECK_FALSE(entry.access.maySend("v2", true, false, entry.now + validity));
    entry.access.recordSentTo("route", "v2");
    // Streams at the new version consume grants too.
    CHECK(entry.isPinnedAllowed("v2"));
    entry.access.returnGrant(entry.now);
    CHECK(entry.access.decide("route", std::nullopt, entry.now)->required == "v2");
    CHECK(entry.access.decide("route", std::nullopt, entry.now)->required == "v2");
    CHECK(entry.excluded() == Versions{"v2"});
    CHECK_FALSE(entry.isPinnedAllowed("v2"));
    CHECK(entry.isPinnedAllowed("v1"));
    // The same permit once more changes nothing.
    entry.access.setPermit(permitOf(3), entry.now, entry.now);
    CHECK(entry.excluded() == Versions{"v2"});
    entry.access.setPermit(permitOf(9), entry.now, entry.now);
    entry.now += validity;
    CHECK(entry.excluded() == Versions{"v2"});
    CHECK(entry.access.report(entry.now).counts.at({"route", true}).sent == 1);
}

// Guards against a permit that answers a report about an earlier order.
TEST_CASE("VersionAccess ignores permits of reports from before the order", "[VersionAccess]")
{
    Entry entry;
    entry.order(RolloutPhase::Canary);
    entry.now += second;
    entry.access.setPermit(permitOf(3), start - second, entry.now);
    CHECK(entry.excluded() == Versions{"v2"});
}

// Guards against routes without evidence.
TEST_CASE("VersionAccess leaves grants to routes that had none", "[VersionAccess]")
{
    Entry entry;
    entry.order(RolloutPhase::Canary);
    entry.access.decide("rare", std::nullopt, entry.now);
    entry.access.setPermit(permitOf(2), entry.now, entry.now);
    CHECK(entry.access.decide("frequent", std::nullopt, entry.now)->required == "v2");
    entry.access.recordSentTo("frequent", "v2");
    CHECK_FALSE(entry.access.decide("frequent", std::nullopt, entry.now)->required);
    CHECK(entry.access.decide("rare", std::nullopt, entry.now)->required == "v2");
    entry.access.returnGrant(entry.now);
    // A route without attempts any more keeps nothing back.
    entry.now += 3 * second;
    entry.access.setPermit(permitOf(2), entry.now, entry.now);
    CHECK(entry.access.decide("frequent", std::nullopt, entry.now)->required == "v2");
}

// Guards against attempts at old versions after the report has said that there are none, when completion may be written.
TEST_CASE("VersionAccess sends nothing to old versions once it has reported that nothing runs there", "[VersionAccess]")
{
    Entry entry;
    entry.access.recordSentTo("route", "v1");
    entry.order(RolloutPhase::Raising);
    entry.access.recordSentTo("route", "v1");
    entry.access.setRow(rowOf(orderTo("v2", 5), RolloutPhase::Closing), entry.now);
    CHECK(entry.excluded() == Versions{"v1"});
    RolloutReport report = entry.access.report(entry.now);
    CHECK(report.phase == RolloutPhase::Closing);
    CHECK(report.oldRunning == 2);
    CHECK(entry.isPinnedAllowed("v1"));
    CHECK_FALSE(entry.access.maySend("v1", false, false, entry.now));
    entry.access.recordEndedAt("route", "v1", second);
    entry.access.recordWithdrawnFrom("route", "v1");
    CHECK(entry.access.maySend("v1", false, true, entry.now));
    CHECK(entry.access.report(entry.now).oldRunning == 0);
    CHECK_FALSE(entry.access.maySend("v1", false, true, entry.now));
    CHECK_FALSE(entry.isPinnedAllowed("v1"));
    // Completion may have been written before a newer order: only the new order's row tells.
    entry.access.setOrder(orderTo("v1", 6), entry.now);
    CHECK(entry.excluded() == Versions{"v1"});
    entry.access.setRow(rowOf(orderTo("v1", 6), RolloutPhase::Closing, {"v1", "v2"}), entry.now);
    CHECK(entry.excluded() == Versions{"v2"});
}

// Guards against a return to the old version when permits end or an older copy of the row appears.
TEST_CASE("VersionAccess never leaves closing and finished phases for earlier ones", "[VersionAccess]")
{
    const RolloutOrder order = orderTo("v2", 5);
    for (const RolloutPhase phase : {RolloutPhase::Closing, RolloutPhase::Completed, RolloutPhase::Reverted}) {
        Entry entry;
        entry.order(phase);
        entry.access.setRow(rowOf(order, RolloutPhase::Canary), entry.now);
        entry.access.setRow(std::nullopt, entry.now);
        entry.access.setOrder(orderTo("v2", 5, 2), entry.now);
        entry.now += 10 * second;
        entry.access.setPermit(permitOf(100, RolloutPhase::Raising), entry.now, entry.now);
        CHECK(entry.access.phase(entry.now) == phase);
        CHECK(entry.excluded() == (phase == RolloutPhase::Reverted ? Versions{"v2"} : Versions{"v1"}));
    }
}

// Guards against requests for a version that was found bad, also by streams and when nothing else is left.
TEST_CASE("VersionAccess refuses a reverted version", "[VersionAccess]")
{
    Entry entry;
    entry.order(RolloutPhase::Canary);
    entry.access.setPermit(permitOf(5), entry.now, entry.now);
    CHECK(entry.access.decide("route", std::nullopt, entry.now)->required == "v2");
    // The permit is known before the row.
    entry.access.setPermit(permitOf(5, RolloutPhase::Reverted), entry.now, entry.now);
    CHECK_FALSE(entry.access.maySend("v2", true, false, entry.now));
    CHECK_FALSE(entry.access.isReporting(entry.now));
    CHECK_FALSE(entry.isPinnedAllowed("v2"));
    CHECK(entry.isPinnedAllowed("v1"));
    CHECK(entry.excluded() == Versions{"v2"});
    entry.access.setListed({{"v2", start}}, entry.now);
    CHECK(entry.excluded().count("v2") == 1);
}

// Guards against grants of one order that are used under the next, and against a lost version in use.
TEST_CASE("VersionAccess ends an order when a newer one comes", "[VersionAccess]")
{
    Entry entry;
    entry.order(RolloutPhase::Raising);
    entry.access.setPermit(permitOf(100, RolloutPhase::Raising), entry.now, entry.now);
    entry.access.recordSentTo("route", "v2");
    entry.access.setListed({{"v1", start}, {"v2", start}, {"v3", start}}, entry.now);
    entry.now += second / 10;
    entry.access.setOrder(orderTo("v3", 6), entry.now);
    CHECK(entry.excluded() == Versions{"v2", "v3"});
    CHECK(entry.access.report(entry.now).counts.empty());
    CHECK(entry.access.report(entry.now).oldRunning == 1);
    // Streams stay at their versions.
    CHECK(entry.isPinnedAllowed("v2"));
    CHECK_FALSE(entry.isPinnedAllowed("v3"));
    // An order back to the version in use does not interrupt its traffic.
    entry.access.setOrder(orderTo("v1", 7), entry.now);
    CHECK(entry.excluded() == Versions{"v2", "v3"});
    // Orders of a restored store do not come back.
    entry.access.setOrder(orderTo("v2", 5, 2), entry.now);
    CHECK(entry.access.order()->id == 7);
}

// Guards against streams that go on at a bad version, or requests for it once nothing else is left, if the next order replaced the row
// before this daemon read the reversion.
TEST_CASE("VersionAccess refuses a reverted version also if it reads the next order first", "[VersionAccess]")
{
    Entry entry;
    entry.order(RolloutPhase::Canary);
    entry.access.setListed({{"v1", start}, {"v2", start}, {"v3", start}}, entry.now);
    entry.access.setOrder(orderTo("v3", 6), entry.now);
    RolloutRow next = rowOf(orderTo("v3", 6), RolloutPhase::Canary);
    next.reverted = {"v2"};
    entry.access.setRow(next, entry.now);
    CHECK_FALSE(entry.isPinnedAllowed("v2"));
    entry.access.setListed({{"v2", start}, {"v3", start}}, entry.now);
    CHECK(entry.excluded().count("v2") == 1);
}

// Guards against an order for the only version that interrupts its traffic until the holder has written the row.
TEST_CASE("VersionAccess goes on with the version in use when it is ordered", "[VersionAccess]")
{
    Entry entry;
    entry.access.setOrder(orderTo("v1", 5), entry.now);
    CHECK(entry.excluded() == Versions{"v2"});
    // A new version is not the one in use only because the others have just gone.
    Entry other;
    other.access.setListed({{"v2", start - second}}, other.now);
    other.access.setOrder(orderTo("v2", 5), other.now);
    CHECK(other.excluded().count("v2") == 1);
}

// Guards against counts that are lost or counted as evidence although the attempt was not run.
TEST_CASE("VersionAccess counts attempts since the order", "[VersionAccess]")
{
    Entry entry;
    entry.access.recordSentTo("route", "v1");
    entry.order(RolloutPhase::Canary);
    // Sent before the order: no evidence.
    entry.access.recordEndedAt("route", "v1", second);
    for (int i = 0; i < 3; ++i) {
        entry.access.recordSent("route", false);
    }
    entry.access.recordEnded("route", false, std::chrono::milliseconds(1));
    entry.access.recordEnded("route", false, std::nullopt);
    entry.access.recordWithdrawn("route", false);
    const RolloutReport report = entry.access.report(entry.now);
    const VersionCounts counts = report.counts.at({"route", false});
    CHECK(counts.sent == 3);
    CHECK(counts.ended == 2);
    CHECK(counts.failed == 1);
    CHECK(counts.times[0] == 1);
    CHECK(report.oldRunning == 0);
}
