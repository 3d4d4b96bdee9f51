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
        /** What is known of versions is believed for streams that began after the table was last read. */
        bool trustsOldPeriods = false;
        /** Streams are recorded although the table does not have their version yet. */
        bool recordsBeforeVersion = false;
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
        /** Until then the daemon has no connection to the table. */
        TimePoint cutUntil{};
        /** Until then the daemon is paused. */
        TimePoint pausedUntil{};
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

    /** How long streams run until they break off, in milliseconds. */
    std::int64_t minLength = 50;
    std::int64_t maxLength = 15000;

    int begun = 0;
    /** Streams that were taken up at daemons which are in step. */
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
            scheduleObservation(i);
        }
    }

    bool isCut(const Daemon &daemon) const
    {
        return isTableDown || now() < daemon.cutUntil;
    }

    bool isPaused(const Daemon &daemon) const
    {
        return now() < daemon.pausedUntil;
    }

    /** Whether the daemon has been running with a connection to the table. */
    bool isInStep(const Daemon &daemon) const
    {
        return daemon.isUp && daemon.hasSnapshot && !isCut(daemon) && !isPaused(daemon);
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
        if (!daemon.isUp || !daemon.hasSnapshot || isPaused(daemon)) {
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
        record(Beginning{id, version, index, daemon.incarnation, need == SoftwareVersions::RecordNeed::Required, now()});
    }

private:
    static constexpr const char *service = "engines";
    int m_lastStream = 0;

    void scheduleObservation(std::size_t index)
    {
        const int incarnation = daemons[index].incarnation;
        scheduler.scheduleAfter(daemons[index].lag + milliseconds(5, 600), [this, index, incarnation]() {
            if (daemons[index].incarnation != incarnation) {
                return;
            }
            if (isCut(daemons[index]) || isPaused(daemons[index])) {
                scheduleObservation(index);
                return;
            }
            observe(index);
        });
    }

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
        // The daemons spread their writes.
        scheduler.scheduleAfter(milliseconds(0, 250), [this, index]() {
            update(index);
        });
    }

    void read(std::size_t index)
    {
        const int incarnation = daemons[index].incarnation;
        scheduler.scheduleAfter(daemons[index].lag + milliseconds(5, 40), [this, index, incarnation]() {
            Daemon &daemon = daemons[index];
            if (daemon.incarnation != incarnation || !daemon.isUp) {
                return;
            }
            if (isCut(daemon) || isPaused(daemon)) {
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
        if (!daemon.isUp || !daemon.hasSnapshot || daemon.isWriting || isPaused(daemon)) {
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
            const bool isApplied = !isCut(daemons[index]) && std::all_of(changes.begin(), changes.end(), [&](const VersionPeriod &change) {
                return isSame(known, versionRowKey(change));
            });
            if (isApplied) {
                for (const VersionPeriod &change : changes) {
                    periods[versionRowKey(change)] = change;
                    deliver(versionRowKey(change));
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

    void deliver(const std::string &key)
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            deliverTo(i, key, daemons[i].incarnation, era);
        }
    }

    void deliverTo(std::size_t index, const std::string &key, int incarnation, int writtenEra)
    {
        scheduler.scheduleAfter(daemons[index].lag + milliseconds(5, 60), [this, index, key, incarnation, writtenEra]() {
            Daemon &daemon = daemons[index];
            if (daemon.incarnation != incarnation || writtenEra != era) {
                return;
            }
            if (isCut(daemon) || isPaused(daemon)) {
                deliverTo(index, key, incarnation, writtenEra);
                return;
            }
            const auto row = periods.find(key);
            if (daemon.hasSnapshot && row != periods.end()) {
                daemon.rows[key] = row->second;
                daemon.versions.apply(row->second, now());
                update(index);
            }
        });
    }

    /** A stream that begins once it is recorded. */
    struct Beginning
    {
        int id = 0;
        std::string version;
        std::size_t daemon = 0;
        int incarnation = 0;
        bool isRequired = false;
        TimePoint since{};
    };

    void record(const Beginning &beginning)
    {
        scheduler.scheduleAfter(milliseconds(4, 150), [this, beginning]() {
            Daemon &daemon = daemons[beginning.daemon];
            if (daemon.incarnation != beginning.incarnation) {
                return;
            }
            const bool isVersionKnown = faults.recordsBeforeVersion || daemon.versions.isInTable(service, beginning.version);
            if (!isVersionKnown && now() - beginning.since < std::chrono::seconds(1)) {
                update(beginning.daemon);
                record(beginning);
                return;
            }
            const bool isRecorded = isVersionKnown && !isCut(daemon) && !isPaused(daemon);
            if (isRecorded) {
                records[beginning.id] = beginning.version;
            }
            if (isRecorded || !beginning.isRequired || faults.ignoresFailedRecords) {
                begin(beginning.id, beginning.version);
            }
        });
    }

    void begin(int id, const std::string &version)
    {
        ++begun;
        scheduler.scheduleAfter(milliseconds(minLength, maxLength), [this, id, version]() {
            takeUp(id, version, 3);
        });
    }

    void takeUp(int id, const std::string &version, int tries)
    {
        const std::size_t index = randomDaemon();
        Daemon &daemon = daemons[index];
        if (isPaused(daemon)) {
            // The request waits, and is the first that the daemon handles when it goes on.
            scheduler.scheduleAfter(daemon.pausedUntil - now(), [this, id, version, index, incarnation = daemon.incarnation]() {
                if (daemons[index].incarnation == incarnation && daemons[index].hasSnapshot) {
                    ask(index, id, version);
                }
            });
            return;
        }
        if (!daemon.isUp || !daemon.hasSnapshot || isTableDown) {
            if (tries > 1) {
                scheduler.scheduleAfter(milliseconds(300, 900), [this, id, version, tries]() {
                    takeUp(id, version, tries - 1);
                });
            }
            return;
        }
        ask(index, id, version);
    }

    /** A stream that is taken up at a daemon. */
    struct Question
    {
        int id = 0;
        /** The version that began it. */
        std::string version;
        TimePoint askedAt{};
        std::size_t daemon = 0;
        int incarnation = 0;
        /** Whether the daemon has to be able to answer. */
        bool isInStep = false;
    };

    void ask(std::size_t index, int id, const std::string &version)
    {
        const Daemon &daemon = daemons[index];
        const Question question{id, version, now(), index, daemon.incarnation, isInStep(daemon)};
        takenUp += question.isInStep ? 1 : 0;
        advance(question);
    }

    void advance(const Question &question)
    {
        const Daemon &daemon = daemons[question.daemon];
        SoftwareVersions::LookupStep step = daemon.versions.nextLookupStep(service, question.askedAt, now());
        if (faults.trustsOldPeriods && step == SoftwareVersions::LookupStep::ReadVersions) {
            const bool isSingle = daemon.versions.onlyVersion(service, now()).has_value();
            step = isSingle ? SoftwareVersions::LookupStep::Conclude : SoftwareVersions::LookupStep::ReadRecord;
        }
        if (step == SoftwareVersions::LookupStep::Conclude) {
            conclude(question, daemon.versions.unrecordedVersion(service, now()));
            return;
        }
        const TimePoint sentAt = now();
        scheduler.scheduleAfter(milliseconds(1, 15), [this, question, step, sentAt]() {
            if (isCut(daemons[question.daemon])) {
                return;
            }
            const auto record = records.find(question.id);
            const std::optional<std::string> recorded = record == records.end() ? std::nullopt : std::optional<std::string>(record->second);
            scheduler.scheduleAfter(milliseconds(1, 15), [this, question, step, sentAt, recorded, rows = periods, readEra = era]() {
                if (step == SoftwareVersions::LookupStep::ReadRecord) {
                    handleRecord(question, recorded, readEra);
                } else {
                    handlePeriods(question, rows, readEra, sentAt);
                }
            });
        });
    }

    void handlePeriods(const Question &question, const std::map<std::string, VersionPeriod> &rows, int readEra, TimePoint sentAt)
    {
        Daemon &daemon = daemons[question.daemon];
        // The reply of the table states its era.
        const bool isEraKnown = daemon.era == readEra || faults.ignoresEras;
        if (daemon.incarnation != question.incarnation || !isEraKnown) {
            return;
        }
        for (const std::pair<const std::string, VersionPeriod> &row : rows) {
            daemon.rows[row.first] = row.second;
            daemon.versions.apply(row.second, now());
        }
        daemon.versions.recordConfirmed(sentAt);
        advance(question);
    }

    void handleRecord(const Question &question, const std::optional<std::string> &recorded, int readEra)
    {
        const Daemon &daemon = daemons[question.daemon];
        if (daemon.incarnation != question.incarnation) {
            return;
        }
        if (recorded.has_value()) {
            conclude(question, recorded);
        } else if (daemon.era == readEra || faults.ignoresEras) {
            conclude(question, daemon.versions.unrecordedVersion(service, now()));
        }
    }

    void conclude(const Question &question, const std::optional<std::string> &found)
    {
        resolved += found.has_value() && question.isInStep ? 1 : 0;
        joined += found.has_value() && *found != question.version ? 1 : 0;
    }
};

}
