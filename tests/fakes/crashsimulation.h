#pragma once

#include "servers/crashtracker.h"
#include "tests/fakes/eventscheduler.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace citronspar::fakes
{

/**
 * A fleet in virtual time: entry daemons with a CrashTracker each, a table that
 * delivers rows late, out of order and twice, and engines that crash under
 * requests with a bad part.
 */
class CrashSimulation
{
public:
    static constexpr Duration contactTime = std::chrono::seconds(3);

    struct Request
    {
        std::vector<CrashSuspect> suspects;
        bool isSound = true;
        int attempts = 0;
        /** How often the caller sends it again at another daemon when it fails. */
        int callerRetries = 0;
        /** Whether its last run is one that completes although the request is bad. */
        bool completesThisRun = false;
    };

    /** How an engine ends as seen by the daemons with attempts on it. */
    enum class EndSignal {
        /** Connections are reset, and new ones are refused. */
        Reset,
        /** The attempts get no signal before the engine has started again; only its endpoint daemon misses it before. */
        Silence,
        /** Connections are reset, and new ones get no answer. The list shows the next start. */
        ResetThenSilence,
    };

    struct Engine
    {
        int number = 0;
        std::int64_t startedMs = 1;
        /** How often the engine has started, as part of its id where starts have ids of their own. */
        int startCount = 0;
        bool isUp = true;
        /** Attempts on the engine: the daemon and the request. */
        std::multimap<int, std::shared_ptr<Request>> attempts;
    };

    struct Daemon
    {
        std::unique_ptr<CrashTracker> tracker;
        int incarnation = 0;
        bool isCut = false;
        bool isFrozen = false;
        TimePoint disturbedAt = timeNever;
        TimePoint updateAt = timeNever;
        /** How often the table had come back from a copy when the daemon last read it. */
        int tableEra = 0;
    };

    EventScheduler scheduler;
    std::vector<Daemon> daemons;
    std::vector<Engine> engines;
    std::map<std::string, CrashRow> table;
    std::map<std::string, CrashRow> copiedTable;
    int tableEra = 0;
    /** Whether daemons take an older copy of the table for the whole truth; broken on purpose. */
    bool replacesByOlderRows = false;
    std::set<SuspectId> badParts;
    EndSignal endSignal = EndSignal::Reset;
    Duration restartTime = std::chrono::seconds(3);
    /** The longest time from the begin of a bad request to the crash. */
    Duration maxTimeToCrash = std::chrono::milliseconds(300);
    bool hasLateRows = true;
    /** The shortest time from the begin of a bad request to the crash. */
    Duration minTimeToCrash = std::chrono::milliseconds(20);
    /** How often a run of a bad request crashes its engine. */
    double crashProbability = 1;
    /** Whether each start of an engine has its own id, and whether the list shows the time of the start. */
    bool hasNewIds = false;
    bool hasStartTimes = true;
    int maxAttempts = 2;
    int callerRetries = 0;
    /** The crash from which later arrivals are counted. */
    std::size_t countedFromCrash = 5;

    std::map<SuspectId, std::vector<TimePoint>> crashes;
    /** By suspect: requests that reached an engine later than contactTime after crash number countedFromCrash, from daemons in touch. */
    std::map<SuspectId, int> lateArrivals;
    int soundSent = 0;
    int soundBlocked = 0;
    int badBlocked = 0;
    /** Sound requests that arrived after this time are counted. */
    TimePoint countSoundFrom = timeNever;

    CrashSimulation(std::uint64_t seed, int daemonCount, int engineCount)
        : scheduler(seed)
    {
        for (int i = 0; i < daemonCount; ++i) {
            Daemon daemon;
            daemon.tracker = std::make_unique<CrashTracker>("entry-" + std::to_string(i));
            daemons.push_back(std::move(daemon));
        }
        for (int i = 0; i < engineCount; ++i) {
            Engine engine;
            engine.number = i;
            engines.push_back(std::move(engine));
        }
    }

    TimePoint now() const
    {
        return scheduler.now();
    }

    int randomDaemon()
    {
        return static_cast<int>(scheduler.randomInteger(0, static_cast<std::int64_t>(daemons.size()) - 1));
    }

    /** A caller sends a request with these shared parts and a body of its own to a daemon. */
    void request(int daemon, const std::vector<SuspectId> &parts, SuspectId body = 0)
    {
        const std::shared_ptr<Request> request = std::make_shared<Request>();
        const SuspectId wholeRequest = body != 0 ? body : static_cast<SuspectId>(scheduler.randomInteger(1, INT64_MAX));
        request->suspects.push_back(CrashSuspect{wholeRequest, true, 0});
        for (const SuspectId part : parts) {
            request->suspects.push_back(CrashSuspect{part, false, 0});
        }
        request->isSound = std::none_of(request->suspects.begin(), request->suspects.end(), [this](const CrashSuspect &suspect) {
            return badParts.count(suspect.id) > 0;
        });
        request->callerRetries = callerRetries;
        const bool isCounted = request->isSound && now() >= countSoundFrom;
        soundSent += isCounted ? 1 : 0;
        attempt(daemon, request);
    }

    void copyTable()
    {
        copiedTable = table;
    }

    /** The table comes back from the copy. */
    void restoreTable()
    {
        table = copiedTable;
        ++tableEra;
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            if (!daemons[i].isCut && !daemons[i].isFrozen) {
                readTable(static_cast<int>(i));
            }
        }
    }

    void restartDaemon(int number)
    {
        daemons[static_cast<std::size_t>(number)].tableEra = tableEra;
        Daemon &daemon = daemons[static_cast<std::size_t>(number)];
        daemon.tracker = std::make_unique<CrashTracker>("entry-" + std::to_string(number));
        ++daemon.incarnation;
        daemon.disturbedAt = now();
        readTable(number);
    }

    void cutDaemon(int number, Duration time)
    {
        daemons[static_cast<std::size_t>(number)].isCut = true;
        daemons[static_cast<std::size_t>(number)].disturbedAt = now();
        scheduler.scheduleAfter(time, [this, number]() {
            Daemon &daemon = daemons[static_cast<std::size_t>(number)];
            daemon.isCut = false;
            daemon.disturbedAt = now();
            readTable(number);
            flush(number);
        });
    }

    void freezeDaemon(int number, Duration time)
    {
        daemons[static_cast<std::size_t>(number)].isFrozen = true;
        scheduler.scheduleAfter(time, [this, number]() {
            daemons[static_cast<std::size_t>(number)].isFrozen = false;
            daemons[static_cast<std::size_t>(number)].disturbedAt = now();
            // The feed goes on where it stopped.
            readTable(number);
            update(number);
        });
    }

    void endEngine(std::size_t index)
    {
        Engine &engine = engines[index];
        if (!engine.isUp) {
            return;
        }
        engine.isUp = false;
        const EndpointStart start = startOf(engine);
        const std::multimap<int, std::shared_ptr<Request>> attempts = std::move(engine.attempts);
        engine.attempts.clear();
        for (const std::pair<const int, std::shared_ptr<Request>> &entry : attempts) {
            const int daemon = entry.first;
            const std::shared_ptr<Request> request = entry.second;
            const Duration delay = endSignal != EndSignal::Silence ? milliseconds(1, 5) : restartTime + milliseconds(100, 200);
            scheduler.scheduleAfter(delay, [this, daemon, request, start]() {
                handleLost(daemon, request, start);
            });
            if (endSignal == EndSignal::Silence) {
                scheduler.scheduleAfter(milliseconds(400, 1000), [this, daemon, request, start]() {
                    recordLost(daemon, request, start);
                });
            }
        }
        scheduler.scheduleAfter(restartTime, [this, index]() {
            engines[index].isUp = true;
            ++engines[index].startCount;
            engines[index].startedMs = std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch()).count();
            if (endSignal == EndSignal::ResetThenSilence) {
                listStart(startOf(engines[index]));
            }
        });
    }

    /** Resets the connections of all attempts on an engine, which stays up. */
    void resetConnections(std::size_t index)
    {
        Engine &engine = engines[index];
        const std::multimap<int, std::shared_ptr<Request>> attempts = std::move(engine.attempts);
        engine.attempts.clear();
        for (const std::pair<const int, std::shared_ptr<Request>> &entry : attempts) {
            CrashTracker &tracker = *daemons[static_cast<std::size_t>(entry.first)].tracker;
            tracker.recordLost(startOf(engine), entry.second->suspects, now());
            attempt(entry.first, entry.second);
        }
    }

    int mostLateArrivals() const
    {
        int most = 0;
        for (const std::pair<const SuspectId, int> &arrivals : lateArrivals) {
            most = std::max(most, arrivals.second);
        }
        return most;
    }

    int blockedSuspectCount()
    {
        std::set<SuspectId> blocked;
        for (const Daemon &daemon : daemons) {
            const std::vector<SuspectId> suspects = daemon.tracker->blockedSuspects(now());
            blocked.insert(suspects.begin(), suspects.end());
        }
        return static_cast<int>(blocked.size());
    }

    bool isBlockedEverywhere(SuspectId suspect)
    {
        return std::all_of(daemons.begin(), daemons.end(), [&](const Daemon &daemon) {
            return daemon.tracker->check({CrashSuspect{suspect, false, 0}}, now()).decision != CrashAttribution::Decision::Admit;
        });
    }

private:
    Duration milliseconds(std::int64_t low, std::int64_t high)
    {
        return std::chrono::milliseconds(scheduler.randomInteger(low, high));
    }

    EndpointStart startOf(const Engine &engine) const
    {
        const std::string address = "engine-" + std::to_string(engine.number);
        const std::string id = hasNewIds ? address + "-" + std::to_string(engine.startCount) : address;
        return EndpointStart{id, address, hasStartTimes ? engine.startedMs : 0};
    }

    /** Each daemon reads the entry of the start in the list. */
    void listStart(const EndpointStart &start)
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            const int incarnation = daemons[i].incarnation;
            scheduler.scheduleAfter(milliseconds(5, 30), [this, i, start, incarnation]() {
                if (daemons[i].incarnation == incarnation && !daemons[i].isCut && !daemons[i].isFrozen) {
                    daemons[i].tracker->recordStarted(start, now());
                    scheduleUpdate(static_cast<int>(i));
                }
            });
        }
    }

    bool isInTouch(const Daemon &daemon) const
    {
        return !daemon.isCut && !daemon.isFrozen && (daemon.disturbedAt == timeNever || now() - daemon.disturbedAt > contactTime);
    }

    void countArrival(const Daemon &daemon, const Request &request)
    {
        for (const CrashSuspect &suspect : request.suspects) {
            if (badParts.count(suspect.id) == 0) {
                continue;
            }
            const std::vector<TimePoint> &times = crashes[suspect.id];
            if (times.size() >= countedFromCrash && now() > times[countedFromCrash - 1] + contactTime && isInTouch(daemon)) {
                ++lateArrivals[suspect.id];
            }
        }
    }

    void attempt(int number, const std::shared_ptr<Request> &request)
    {
        Daemon &daemon = daemons[static_cast<std::size_t>(number)];
        if (daemon.isFrozen) {
            return;
        }
        const CrashAttribution::Verdict verdict = daemon.tracker->check(request->suspects, now());
        std::vector<std::size_t> up;
        for (const Engine &engine : engines) {
            if (engine.isUp) {
                up.push_back(static_cast<std::size_t>(engine.number));
            }
        }
        if (up.empty()) {
            return;
        }
        const bool isTrial = verdict.decision == CrashAttribution::Decision::Trial && claimTrial(number, verdict);
        if (verdict.decision != CrashAttribution::Decision::Admit && !isTrial) {
            const bool isCounted = request->isSound && now() >= countSoundFrom;
            soundBlocked += isCounted ? 1 : 0;
            badBlocked += request->isSound ? 0 : 1;
            return;
        }
        const std::size_t index = up[static_cast<std::size_t>(scheduler.randomInteger(0, static_cast<std::int64_t>(up.size()) - 1))];
        request->attempts += isTrial ? maxAttempts : 1;
        countArrival(daemon, *request);
        Engine &engine = engines[index];
        engine.attempts.emplace(number, request);
        const std::int64_t start = engine.startedMs;
        const TimePoint sentAt = now();
        for (CrashSuspect &suspect : request->suspects) {
            suspect.sentAt = sentAt;
        }
        request->completesThisRun = request->isSound || (crashProbability < 1 && !scheduler.randomBool(crashProbability));
        if (request->completesThisRun) {
            scheduler.scheduleAfter(milliseconds(150, 1500), [this, number, index, start, request, sentAt]() {
                complete(number, index, start, request, sentAt);
            });
            return;
        }
        scheduler.scheduleAfter(milliseconds(0, 40) + minTimeToCrash + scheduler.randomDuration(Duration(0), maxTimeToCrash),
                                [this, index, start, request]() {
                                    if (engines[index].isUp && engines[index].startedMs == start) {
                                        for (const CrashSuspect &suspect : request->suspects) {
                                            if (badParts.count(suspect.id) > 0) {
                                                crashes[suspect.id].push_back(now());
                                            }
                                        }
                                        endEngine(index);
                                    }
                                });
    }

    void complete(int number, std::size_t index, std::int64_t start, const std::shared_ptr<Request> &request, TimePoint sentAt)
    {
        Engine &engine = engines[index];
        if (!engine.isUp || engine.startedMs != start) {
            return;
        }
        for (auto it = engine.attempts.begin(); it != engine.attempts.end(); ++it) {
            if (it->second == request) {
                engine.attempts.erase(it);
                Daemon &daemon = daemons[static_cast<std::size_t>(number)];
                if (!daemon.isFrozen) {
                    daemon.tracker->recordCompleted(request->suspects, sentAt, now());
                    scheduleUpdate(number);
                }
                return;
            }
        }
    }

    void handleLost(int number, const std::shared_ptr<Request> &request, const EndpointStart &start)
    {
        recordLost(number, request, start);
        if (request->attempts < maxAttempts) {
            attempt(number, request);
        } else if (request->callerRetries > 0) {
            const std::shared_ptr<Request> repeated = std::make_shared<Request>(*request);
            repeated->attempts = 0;
            --repeated->callerRetries;
            scheduler.scheduleAfter(milliseconds(6, 12), [this, repeated]() {
                attempt(randomDaemon(), repeated);
            });
        }
    }

    void recordLost(int number, const std::shared_ptr<Request> &request, const EndpointStart &start)
    {
        Daemon &daemon = daemons[static_cast<std::size_t>(number)];
        if (daemon.isFrozen) {
            return;
        }
        if (daemon.tracker->recordLost(start, request->suspects, now())) {
            const int incarnation = daemon.incarnation;
            const bool isSilent = endSignal == EndSignal::ResetThenSilence;
            scheduler.scheduleAfter(isSilent ? milliseconds(300, 300) : milliseconds(1, 3), [this, number, start, incarnation, isSilent]() {
                Daemon &checking = daemons[static_cast<std::size_t>(number)];
                if (checking.incarnation == incarnation) {
                    checking.tracker->recordReachability(start, isSilent ? EndpointReachability::NoAnswer : EndpointReachability::Refuses,
                                                         now());
                    scheduleUpdate(number);
                }
            });
        }
        scheduleUpdate(number);
    }

    bool claimTrial(int number, const CrashAttribution::Verdict &verdict)
    {
        Daemon &daemon = daemons[static_cast<std::size_t>(number)];
        for (const SuspectId suspect : verdict.blocked) {
            const CrashRow row = daemon.tracker->makeTrial(suspect, now());
            const auto known = table.find(crashRowKey(row));
            // Another daemon has claimed the trial, and its row is on the way.
            const bool isClaimedByOther = known != table.end() && now() - known->second.at < std::chrono::milliseconds(800);
            if (!daemon.isCut && isClaimedByOther) {
                return false;
            }
            daemon.tracker->applyRow(row, now());
            if (!daemon.isCut) {
                write(row);
            }
        }
        return true;
    }

    void scheduleUpdate(int number)
    {
        const TimePoint at = daemons[static_cast<std::size_t>(number)].tracker->nextUpdateAt();
        if (at != timeNever) {
            scheduler.scheduleAfter(std::max(at - now(), Duration(std::chrono::milliseconds(2))), [this, number]() {
                update(number);
            });
        }
    }

    void update(int number)
    {
        Daemon &daemon = daemons[static_cast<std::size_t>(number)];
        if (daemon.isFrozen) {
            return;
        }
        daemon.tracker->update(now());
        flush(number);
    }

    void flush(int number)
    {
        Daemon &daemon = daemons[static_cast<std::size_t>(number)];
        if (daemon.isCut) {
            return;
        }
        const std::map<std::string, CrashRow> rows = daemon.tracker->unwrittenRows();
        for (const std::pair<const std::string, CrashRow> &row : rows) {
            write(row.second);
            daemon.tracker->recordWritten(row.second);
        }
        for (const std::string &key : daemon.tracker->takeDroppedKeys(now())) {
            table.erase(key);
        }
    }

    void write(const CrashRow &row)
    {
        table[crashRowKey(row)] = row;
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            const int copies = hasLateRows && scheduler.randomBool(0.05) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const Duration delay = hasLateRows && scheduler.randomBool(0.02) ? milliseconds(100, 800) : milliseconds(4, 30);
                deliver(static_cast<int>(i), row, delay);
            }
        }
    }

    void deliver(int number, const CrashRow &row, Duration delay)
    {
        const int incarnation = daemons[static_cast<std::size_t>(number)].incarnation;
        scheduler.scheduleAfter(delay, [this, number, row, incarnation]() {
            Daemon &daemon = daemons[static_cast<std::size_t>(number)];
            if (daemon.isCut || daemon.isFrozen || daemon.incarnation != incarnation) {
                return;
            }
            daemon.tracker->applyRow(row, now());
            scheduleUpdate(number);
        });
    }

    void readTable(int number)
    {
        const int incarnation = daemons[static_cast<std::size_t>(number)].incarnation;
        scheduler.scheduleAfter(milliseconds(4, 60), [this, number, incarnation]() {
            Daemon &daemon = daemons[static_cast<std::size_t>(number)];
            if (daemon.incarnation != incarnation || daemon.isCut) {
                return;
            }
            std::vector<CrashRow> rows;
            for (const std::pair<const std::string, CrashRow> &row : table) {
                rows.push_back(row.second);
            }
            const bool isOlderCopy = daemon.tableEra != tableEra && !replacesByOlderRows;
            daemon.tableEra = tableEra;
            if (isOlderCopy) {
                daemon.tracker->mergeOlderRows(rows, now());
            } else {
                daemon.tracker->replaceRows(rows, now());
            }
            scheduleUpdate(number);
        });
    }
};

}
