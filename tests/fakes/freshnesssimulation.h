#pragma once

#include "servers/freshnessguard.h"
#include "tests/fakes/eventscheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronspar
{

/** Defects that can be injected; the checker must detect each of them. */
enum class FreshnessDefect {
    None,
    /** The age of a proof counts from the receipt of the answer, not from the sending of the query. */
    CountFromReceipt,
    /** A restarted member confirms versions immediately. */
    ConfirmAtOnce,
    /** A change counts as accepted as soon as the table has committed it. */
    AcceptWhenCommitted,
    /** The roster is replaced in one step, without a joint roster. */
    ReplaceRosterInOneStep,
    /** A relay reports an age of zero for its proof. */
    RelayWithoutProofAge,
    /** A daemon that can't confirm its version continues to serve. */
    ServeWithoutProof,
};

constexpr std::size_t candidateCount = 6;
constexpr std::size_t leafCount = 2;
constexpr std::size_t nodeCount = candidateCount + leafCount;
constexpr Duration tickPeriod = std::chrono::milliseconds(200);
constexpr Duration maxAge = std::chrono::seconds(2);

inline std::string nameOf(std::size_t node)
{
    return "n" + std::to_string(node);
}

/**
 * Simulates daemons, a table and an unreliable network in virtual time. The
 * leaves are daemons that never join the roster and confirm through a relay.
 */
class FreshnessSimulation
{
private:
    struct Node
    {
        std::unique_ptr<FreshnessGuard> guard;
        int incarnation = 0;
        TimePoint pausedUntil = timeNever;
        bool isTableBlocked = false;
        std::size_t relay = 0;
    };

    EventScheduler m_scheduler;
    FreshnessDefect m_defect;
    std::vector<Node> m_nodes{nodeCount};
    std::map<std::int64_t, Roster> m_documents;
    std::map<std::int64_t, TimePoint> m_acceptedAt;
    std::int64_t m_tableVersion = 1;
    bool m_isTableDown = false;
    std::set<std::pair<std::size_t, std::size_t>> m_blockedLinks;
    bool m_isViolated = false;
    std::size_t m_servedChecks = 0;
    std::size_t m_checks = 0;

    FreshnessGuard::Settings settings() const
    {
        FreshnessGuard::Settings settings;
        settings.maxAge = maxAge;
        return settings;
    }

    void restart(std::size_t node)
    {
        Node &restarted = m_nodes[node];
        ++restarted.incarnation;
        restarted.guard = std::make_unique<FreshnessGuard>(settings(), nameOf(node), m_scheduler.now());
        // A new process fetches the document from any peer, so its version may be outdated. The checks must hold for any version.
        const std::int64_t known = m_scheduler.randomInteger(1, m_tableVersion);
        restarted.guard->setAppliedVersion(known, m_documents[known]);
    }

    /** Runs @p event at @p node after @p delay; deferred while the process is paused, dropped if it has restarted. */
    void scheduleAtNode(std::size_t node, Duration delay, const std::function<void()> &event)
    {
        const int incarnation = m_nodes[node].incarnation;
        m_scheduler.scheduleAfter(delay, [this, node, incarnation, event]() {
            if (m_nodes[node].incarnation != incarnation) {
                return;
            }
            if (m_scheduler.now() < m_nodes[node].pausedUntil) {
                scheduleAtNode(node, m_nodes[node].pausedUntil - m_scheduler.now(), event);
                return;
            }
            event();
        });
    }

    Duration messageDelay()
    {
        return m_scheduler.randomBool(0.03) ? m_scheduler.randomDuration(Duration(0), std::chrono::seconds(5))
                                            : m_scheduler.randomDuration(Duration(300), std::chrono::milliseconds(30));
    }

    void send(std::size_t from, std::size_t to, const std::function<void()> &onArrival)
    {
        if (m_blockedLinks.count({from, to}) == 0) {
            scheduleAtNode(to, messageDelay(), onArrival);
        }
    }

    void apply(std::size_t node, std::int64_t version)
    {
        m_nodes[node].guard->setAppliedVersion(version, m_documents[version]);
    }

    /** Returns the query from whose time the age of the proof counts. */
    FreshnessGuard::QueryId effectiveQuery(std::size_t node, FreshnessGuard::QueryId query)
    {
        return m_defect == FreshnessDefect::CountFromReceipt ? m_nodes[node].guard->registerQuery(m_scheduler.now()) : query;
    }

    void queryTable(std::size_t node)
    {
        const FreshnessGuard::QueryId query = m_nodes[node].guard->registerQuery(m_scheduler.now());
        m_scheduler.scheduleAfter(messageDelay(), [this, node, query, incarnation = m_nodes[node].incarnation]() {
            if (m_isTableDown || m_nodes[node].isTableBlocked || m_nodes[node].incarnation != incarnation) {
                return;
            }
            const std::int64_t version = m_tableVersion;
            scheduleAtNode(node, messageDelay(), [this, node, query, version]() {
                m_nodes[node].guard->handleTableAnswer(effectiveQuery(node, query), version);
                apply(node, version);
            });
        });
    }

    void queryMember(std::size_t node, std::size_t member)
    {
        const FreshnessGuard::QueryId query = m_nodes[node].guard->registerQuery(m_scheduler.now());
        const int incarnation = m_nodes[node].incarnation;
        send(node, member, [this, node, member, query, incarnation]() {
            const std::int64_t version = m_nodes[member].guard->appliedVersion();
            const bool canConfirm = m_defect == FreshnessDefect::ConfirmAtOnce || m_nodes[member].guard->canConfirm();
            if (m_nodes[node].incarnation != incarnation) {
                return;
            }
            send(member, node, [this, node, member, query, version, canConfirm]() {
                m_nodes[node].guard->handleMemberAnswer(effectiveQuery(node, query), nameOf(member), version, canConfirm);
                if (m_scheduler.randomBool(0.7)) {
                    apply(node, version);
                }
            });
        });
    }

    void queryRelay(std::size_t node, std::size_t relay)
    {
        const FreshnessGuard::QueryId query = m_nodes[node].guard->registerQuery(m_scheduler.now());
        const int incarnation = m_nodes[node].incarnation;
        send(node, relay, [this, node, relay, query, incarnation]() {
            const FreshnessGuard &guard = *m_nodes[relay].guard;
            const std::optional<TimePoint> proof = guard.proofTime(m_scheduler.now());
            if (!proof.has_value() || m_nodes[node].incarnation != incarnation) {
                return;
            }
            const std::int64_t version = guard.appliedVersion();
            const Duration age = m_defect == FreshnessDefect::RelayWithoutProofAge ? Duration::zero() : m_scheduler.now() - *proof;
            send(relay, node, [this, node, query, version, age]() {
                apply(node, version);
                m_nodes[node].guard->handleRelayAnswer(query, version, age);
            });
        });
    }

    void tick(std::size_t node)
    {
        const bool isLeaf = node >= candidateCount;
        if (!isLeaf) {
            queryTable(node);
        }
        const Roster roster = m_documents[m_nodes[node].guard->appliedVersion()];
        std::set<std::string> members(roster.members.begin(), roster.members.end());
        members.insert(roster.previousMembers.begin(), roster.previousMembers.end());
        for (std::size_t member = 0; member < candidateCount && !isLeaf; ++member) {
            if (member != node && members.count(nameOf(member)) > 0) {
                queryMember(node, member);
            }
        }
        if (isLeaf) {
            if (m_scheduler.randomBool(0.02)) {
                m_nodes[node].relay = static_cast<std::size_t>(m_scheduler.randomInteger(0, candidateCount - 1));
            }
            queryRelay(node, m_nodes[node].relay);
        }
        scheduleAtNode(node, tickPeriod, [this, node]() {
            tick(node);
        });
    }

    Roster nextRoster()
    {
        Roster roster = m_documents[m_tableVersion];
        if (!roster.previousMembers.empty()) {
            // The previous members may be removed once the joint roster is accepted.
            const auto accepted = m_acceptedAt.find(m_tableVersion);
            if (accepted != m_acceptedAt.end()) {
                roster.previousMembers.clear();
            }
            return roster;
        }
        if (m_scheduler.randomBool(0.4)) {
            const std::vector<std::string> old = roster.members;
            roster.members.clear();
            const std::int64_t first = m_scheduler.randomInteger(0, candidateCount - 1);
            for (std::int64_t i = 0; i < 3; ++i) {
                roster.members.push_back(nameOf(static_cast<std::size_t>(first + i) % candidateCount));
            }
            if (m_defect != FreshnessDefect::ReplaceRosterInOneStep) {
                roster.previousMembers = old;
            }
        }
        return roster;
    }

    void commitChange()
    {
        const std::size_t node = static_cast<std::size_t>(m_scheduler.randomInteger(0, candidateCount - 1));
        m_scheduler.scheduleAfter(m_scheduler.randomDuration(std::chrono::milliseconds(200), std::chrono::seconds(4)), [this]() {
            commitChange();
        });
        if (m_isTableDown || m_nodes[node].isTableBlocked || m_scheduler.now() < m_nodes[node].pausedUntil) {
            return;
        }
        const Roster roster = nextRoster();
        const std::int64_t version = ++m_tableVersion;
        m_documents[version] = roster;
        apply(node, version);
        if (m_defect == FreshnessDefect::AcceptWhenCommitted) {
            m_acceptedAt[version] = m_scheduler.now();
        }
        for (std::size_t member = 0; member < candidateCount; ++member) {
            send(node, member, [this, member, version]() {
                apply(member, version);
            });
        }
        pollAcceptance(node, version);
    }

    void pollAcceptance(std::size_t node, std::int64_t version)
    {
        scheduleAtNode(node, std::chrono::milliseconds(20), [this, node, version]() {
            const FreshnessGuard &guard = *m_nodes[node].guard;
            if (guard.appliedVersion() != version) {
                return;
            }
            if (guard.isAccepted(m_scheduler.now())) {
                m_acceptedAt.emplace(version, m_scheduler.now());
                return;
            }
            pollAcceptance(node, version);
        });
    }

    /** Blocks messages between @p node and all candidates, in one direction or both. Leaves can still reach it. */
    void isolate(std::size_t node)
    {
        const std::int64_t direction = m_scheduler.randomInteger(0, 2);
        for (std::size_t other = 0; other < candidateCount; ++other) {
            if (direction != 0) {
                m_blockedLinks.insert({node, other});
            }
            if (direction != 1) {
                m_blockedLinks.insert({other, node});
            }
        }
    }

    /** Partitions the candidates into two sides that can't reach each other. */
    void partitionCandidates()
    {
        std::vector<bool> isLeftSide;
        for (std::size_t node = 0; node < candidateCount; ++node) {
            isLeftSide.push_back(m_scheduler.randomBool(0.5));
        }
        for (std::size_t node = 0; node < candidateCount; ++node) {
            for (std::size_t other = 0; other < candidateCount; ++other) {
                if (isLeftSide[node] != isLeftSide[other]) {
                    m_blockedLinks.insert({node, other});
                }
            }
        }
    }

    /** Makes the table unreachable for all candidates except @p node. */
    void blockTableExcept(std::size_t node)
    {
        for (std::size_t other = 0; other < candidateCount; ++other) {
            m_nodes[other].isTableBlocked = other != node;
        }
    }

    void restoreTable()
    {
        m_isTableDown = false;
        for (Node &node : m_nodes) {
            node.isTableBlocked = false;
        }
    }

    void restartAndTick(std::size_t node)
    {
        restart(node);
        scheduleAtNode(node, Duration(0), [this, node]() {
            tick(node);
        });
    }

    void injectFault()
    {
        const std::size_t node = static_cast<std::size_t>(m_scheduler.randomInteger(0, nodeCount - 1));
        switch (m_scheduler.randomInteger(0, 8)) {
        case 0:
            restartAndTick(node);
            break;
        case 1:
            for (std::size_t other = 0; other < candidateCount; ++other) {
                if (m_scheduler.randomBool(0.5)) {
                    restartAndTick(other);
                }
            }
            break;
        case 2:
            m_nodes[node].pausedUntil = m_scheduler.now() + m_scheduler.randomDuration(Duration(0), std::chrono::seconds(6));
            break;
        case 3:
            isolate(node);
            break;
        case 4:
            m_blockedLinks.clear();
            break;
        case 5:
            blockTableExcept(node);
            break;
        case 6:
            restoreTable();
            break;
        case 7:
            partitionCandidates();
            blockTableExcept(node);
            break;
        default:
            m_isTableDown = !m_isTableDown;
            break;
        }
        m_scheduler.scheduleAfter(m_scheduler.randomDuration(std::chrono::milliseconds(50), std::chrono::seconds(3)), [this]() {
            injectFault();
        });
    }

    /** Checks that no serving node applies an older version than one that was accepted more than maxAge ago. */
    void checkVersions()
    {
        std::int64_t requiredVersion = 0;
        for (const std::pair<const std::int64_t, TimePoint> &entry : m_acceptedAt) {
            if (m_scheduler.now() > entry.second + maxAge) {
                requiredVersion = std::max(requiredVersion, entry.first);
            }
        }
        for (const Node &node : m_nodes) {
            if (m_scheduler.now() < node.pausedUntil) {
                continue;
            }
            const bool isServing = m_defect == FreshnessDefect::ServeWithoutProof || node.guard->isFresh(m_scheduler.now());
            ++m_checks;
            m_servedChecks += isServing ? 1 : 0;
            m_isViolated = m_isViolated || (isServing && node.guard->appliedVersion() < requiredVersion);
        }
        m_scheduler.scheduleAfter(std::chrono::milliseconds(20), [this]() {
            checkVersions();
        });
    }

public:
    FreshnessSimulation(std::uint64_t seed, FreshnessDefect defect)
        : m_scheduler(seed)
        , m_defect(defect)
    {
        m_documents[1] = Roster{{nameOf(0), nameOf(1), nameOf(2)}, {}};
        for (std::size_t node = 0; node < nodeCount; ++node) {
            restart(node);
            tick(node);
        }
    }

    void run(Duration duration, bool hasFaults)
    {
        m_scheduler.scheduleAfter(std::chrono::seconds(3), [this, hasFaults]() {
            commitChange();
            checkVersions();
            if (hasFaults) {
                injectFault();
            }
        });
        m_scheduler.runFor(duration);
    }

    void setTableDown(bool isDown)
    {
        m_isTableDown = isDown;
    }

    bool isViolated() const
    {
        return m_isViolated;
    }

    std::size_t acceptedCount() const
    {
        return m_acceptedAt.size();
    }

    double servedShare() const
    {
        return static_cast<double>(m_servedChecks) / static_cast<double>(m_checks);
    }
};

}
