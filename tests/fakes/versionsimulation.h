#pragma once

#include "servers/softwareversions.h"
#include "tests/fakes/eventscheduler.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronspar::fakes
{

/**
 * A fleet in virtual time: entry daemons with a SoftwareVersions each, tables of
 * versions and of streams, a list of endpoints that the daemons see late, and
 * callers that take their streams up at any daemon.
 */
class VersionSimulation
{
public:
    /** Ways in which the daemons are broken on purpose. */
    struct Faults
    {
        /** Streams are never recorded. */
        bool recordsNothing = false;
        /** Streams at a version that is not in the table yet are not recorded. */
        bool ignoresUnwritten = false;
        /** A stream begins although its record could not be written. */
        bool ignoresFailedRecords = false;
        /** A new era of the table is not noticed. */
        bool ignoresEras = false;
    };

    struct Daemon
    {
        SoftwareVersions versions{SoftwareVersions::Settings()};
        std::set<std::pair<std::string, std::string>> listed;
        /** The rows as the daemon knows them. A write is applied only if they have not changed since. */
        std::map<std::string, VersionPeriod> rows;
        int incarnation = 0;
        int era = 0;
        bool isUp = true;
        bool hasSnapshot = false;
        bool isWriting = false;
        /** Rows and lists arrive this much later. */
        Duration lag{};
    };

    EventScheduler scheduler;
    Faults faults;
    std::vector<Daemon> daemons;
    std::set<std::string> inService;
    bool isTableDown = false;
    int era = 0;
    /** The era that the table of versions notes. */
    int notedEra = 0;
    std::map<std::string, VersionPeriod> periods;
    std::map<int, std::string> records;
    std::map<std::string, VersionPeriod> copiedPeriods;
    std::map<int, std::string> copiedRecords;

    int begun = 0;
    int takenUp = 0;
    int joined = 0;
    int resolved = 0;

    VersionSimulation(std::uint64_t seed, int daemonCount)
        : scheduler(seed)
        , daemons(static_cast<std::size_t>(daemonCount))
    {
    }

    TimePoint now() const
    {
        return scheduler.now();
    }

    void setInService(std::set<std::string> versions)
    {
        inService = std::move(versions);
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            const int incarnation = daemons[i].incarnation;
            const std::set<std::string> listed = inService;
            scheduler.scheduleAfter(daemons[i].lag + milliseconds(5, 600), [this, i, incarnation]() {
                if (daemons[i].incarnation == incarnation) {
                    observe(i);
                }
            });
        }
    }

    void killAll()
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            kill(i);
        }
    }

    void kill(std::size_t index)
    {
        Daemon fresh;
        fresh.incarnation = daemons[index].incarnation + 1;
        fresh.isUp = false;
        daemons[index] = std::move(fresh);
        scheduler.scheduleAfter(milliseconds(200, 2000), [this, index]() {
            daemons[index].isUp = true;
            read(index);
        });
    }

    void copyTable()
    {
        copiedPeriods = periods;
        copiedRecords = records;
    }

    void restoreTable()
    {
        periods = copiedPeriods;
        records = copiedRecords;
        ++era;
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            read(i);
        }
    }

    void start()
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            read(i);
        }
        tick();
    }

    /** A caller begins a stream at a daemon; if it begins, it may be taken up later. */
    void stream()
    {
        const std::size_t index = randomDaemon();
        Daemon &daemon = daemons[index];
        if (!daemon.isUp || !daemon.hasSnapshot) {
            return;
        }
        std::vector<std::string> usable;
        for (const std::pair<std::string, std::string> &name : daemon.listed) {
            if (inService.count(name.second) > 0) {
                usable.push_back(name.second);
            }
        }
        if (usable.empty()) {
            return;
        }
        const std::string version
            = usable[static_cast<std::size_t>(scheduler.randomInteger(0, static_cast<std::int64_t>(usable.size()) - 1))];
        const int id = ++m_lastStream;
        const SoftwareVersions::RecordNeed need = daemon.versions.recordNeed(service, version, now());
        const bool isWritten = daemon.rows.count(versionRowKey(VersionPeriod{service, version, {}, timeNever})) > 0;
        if (need == SoftwareVersions::RecordNeed::None || faults.recordsNothing || (faults.ignoresUnwritten && !isWritten)) {
            begin(id, version);
            return;
        }
        const int incarnation = daemon.incarnation;
        const bool isRequired = need == SoftwareVersions::RecordNeed::Required;
        scheduler.scheduleAfter(milliseconds(4, 150), [this, id, version, index, incarnation, isRequired]() {
            const bool isRecorded = !isTableDown;
            if (isRecorded) {
                records[id] = version;
            }
            if (daemons[index].incarnation == incarnation && (isRecorded || !isRequired || faults.ignoresFailedRecords)) {
                begin(id, version);
            }
        });
    }

private:
    static constexpr const char *service = "engines";
    int m_lastStream = 0;

    Duration milliseconds(std::int64_t low, std::int64_t high)
    {
        return std::chrono::milliseconds(scheduler.randomInteger(low, high));
    }

    std::size_t randomDaemon()
    {
        return static_cast<std::size_t>(scheduler.randomInteger(0, static_cast<std::int64_t>(daemons.size()) - 1));
    }

    void tick()
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            update(i);
        }
        scheduler.scheduleAfter(std::chrono::milliseconds(500), [this]() {
            tick();
        });
    }

    void observe(std::size_t index)
    {
        Daemon &daemon = daemons[index];
        daemon.listed.clear();
        for (const std::string &version : inService) {
            daemon.listed.emplace(service, version);
        }
        daemon.versions.observe(daemon.listed, now());
        update(index);
    }

    void read(std::size_t index)
    {
        const int incarnation = daemons[index].incarnation;
        scheduler.scheduleAfter(daemons[index].lag + milliseconds(5, 40), [this, index, incarnation]() {
            Daemon &daemon = daemons[index];
            if (daemon.incarnation != incarnation || !daemon.isUp) {
                return;
            }
            if (isTableDown) {
                read(index);
                return;
            }
            std::vector<VersionPeriod> rows;
            for (const std::pair<const std::string, VersionPeriod> &row : periods) {
                rows.push_back(row.second);
            }
            const bool isNewEra = !faults.ignoresEras && (daemon.hasSnapshot ? daemon.era != era : notedEra != era);
            if (isNewEra) {
                daemon.versions.recordEra(now());
                scheduler.scheduleAfter(SoftwareVersions::Settings().horizon, [this, noted = era]() {
                    notedEra = noted;
                });
            }
            if (isNewEra && daemon.hasSnapshot) {
                daemon.versions.mergeOlder(rows, now());
            } else {
                daemon.versions.replaceAll(rows, now());
            }
            daemon.rows = periods;
            daemon.era = era;
            daemon.hasSnapshot = true;
            observe(index);
        });
    }

    void update(std::size_t index)
    {
        Daemon &daemon = daemons[index];
        if (!daemon.isUp || !daemon.hasSnapshot || daemon.isWriting) {
            return;
        }
        const std::vector<VersionPeriod> changes = daemon.versions.dueChanges(now());
        if (changes.empty()) {
            return;
        }
        daemon.isWriting = true;
        const int incarnation = daemon.incarnation;
        const std::map<std::string, VersionPeriod> known = daemon.rows;
        scheduler.scheduleAfter(daemon.lag + milliseconds(2, 40), [this, index, incarnation, changes, known]() {
            const bool isApplied = !isTableDown && std::all_of(changes.begin(), changes.end(), [&](const VersionPeriod &change) {
                return isSame(known, versionRowKey(change));
            });
            if (isApplied) {
                for (const VersionPeriod &change : changes) {
                    periods[versionRowKey(change)] = change;
                    deliver(change);
                }
            }
            if (daemons[index].incarnation == incarnation) {
                daemons[index].isWriting = false;
                for (const VersionPeriod &change : changes) {
                    if (isApplied) {
                        daemons[index].rows[versionRowKey(change)] = change;
                        daemons[index].versions.apply(change, now());
                    }
                }
            }
        });
    }

    bool isSame(const std::map<std::string, VersionPeriod> &known, const std::string &key) const
    {
        const auto before = known.find(key);
        const auto current = periods.find(key);
        if (before == known.end() || current == periods.end()) {
            return before == known.end() && current == periods.end();
        }
        return before->second.from == current->second.from && before->second.until == current->second.until;
    }

    void deliver(const VersionPeriod &period)
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            const int incarnation = daemons[i].incarnation;
            const int writtenEra = era;
            scheduler.scheduleAfter(daemons[i].lag + milliseconds(5, 60), [this, i, incarnation, period, writtenEra]() {
                if (daemons[i].incarnation == incarnation && daemons[i].hasSnapshot && writtenEra == era) {
                    daemons[i].rows[versionRowKey(period)] = period;
                    daemons[i].versions.apply(period, now());
                    update(i);
                }
            });
        }
    }

    void begin(int id, const std::string &version)
    {
        ++begun;
        scheduler.scheduleAfter(milliseconds(50, 15000), [this, id, version]() {
            takeUp(id, version, 3);
        });
    }

    void takeUp(int id, const std::string &version, int tries)
    {
        Daemon &daemon = daemons[randomDaemon()];
        if (!daemon.isUp || !daemon.hasSnapshot || isTableDown) {
            if (tries > 1) {
                scheduler.scheduleAfter(milliseconds(300, 900), [this, id, version, tries]() {
                    takeUp(id, version, tries - 1);
                });
            }
            return;
        }
        ++takenUp;
        const auto record = records.find(id);
        // The reply of the table states its era.
        const bool isEraKnown = daemon.era == era || faults.ignoresEras;
        std::optional<std::string> found;
        if (record != records.end()) {
            found = record->second;
        } else if (isEraKnown) {
            found = daemon.versions.unrecordedVersion(service, now());
        }
        resolved += found.has_value() ? 1 : 0;
        joined += found.has_value() && *found != version ? 1 : 0;
    }
};

}
