#pragma once

#include "servers/freshnessguard.h"
#include "tests/fakes/schedule.h"

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

/** Ways to break the rule, each of which the checker must notice. */
enum class FreshnessDefect {
    None,
    /** Freshness counts from when the answer came, not from when the question left. */
    CountFromReceipt,
    /** A restarted member vouches at once. */
    VouchAtOnce,
    /** A change counts as accepted when it is committed. */
    AcceptWhenCommitted,
    /** The roster changes in one step. */
    RosterInOneStep,
    /** A relay passes its proof on as if it were new. */
    RelayWithoutAge,
    /** A daemon that can't confirm its version serves on. */
    ServeWhenCutOff,
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

/** Daemons, a table and an unreliable network in virtual time. */
class FreshnessWorld
{
private:
    struct Node
    {
        std::unique_ptr<FreshnessGuard> guard;
        int life = 0;
        TimePoint pausedUntil = timeNever;
        bool isTableCut = false;
        std::size_t relay = 0;
    };

    Schedule m_schedule;
    FreshnessDefect m_defect;
    std::vector<Node> m_nodes{nodeCount};
    std::map<std::int64_t, Roster> m_documents;
    std::map<std::int64_t, TimePoint> m_accepted;
    std::int64_t m_tableVersion = 1;
    bool m_isTableDown = false;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
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
        ++restarted.life;
        restarted.guard = std::make_unique<FreshnessGuard>(settings(), nameOf(node), m_schedule.now());
        // A new process fetches a document from any peer; how old it is makes no difference.
        const std::int64_t known = m_schedule.pick(1, m_tableVersion);
        restarted.guard->applied(known, m_documents[known]);
    }

    /** Runs @p event at @p node, later if the process is paused, never if it was restarted. */
    void atNode(std::size_t node, Duration delay, const std::function<void()> &event)
    {
        const int life = m_nodes[node].life;
        m_schedule.after(delay, [this, node, life, event]() {
            if (m_nodes[node].life != life) {
                return;
            }
            if (m_schedule.now() < m_nodes[node].pausedUntil) {
                atNode(node, m_nodes[node].pausedUntil - m_schedule.now(), event);
                return;
            }
            event();
        });
    }

    Duration messageDelay()
    {
        return m_schedule.chance(0.03) ? m_schedule.pickDuration(Duration(0), std::chrono::seconds(5))
                                       : m_schedule.pickDuration(Duration(300), std::chrono::milliseconds(30));
    }

    void send(std::size_t from, std::size_t to, const std::function<void()> &arrival)
    {
        if (m_cuts.count({from, to}) == 0) {
            atNode(to, messageDelay(), arrival);
        }
    }

    void apply(std::size_t node, std::int64_t version)
    {
        m_nodes[node].guard->applied(version, m_documents[version]);
    }

    FreshnessGuard::QuestionId receiptQuestion(std::size_t node, FreshnessGuard::QuestionId question)
    {
        return m_defect == FreshnessDefect::CountFromReceipt ? m_nodes[node].guard->ask(m_schedule.now()) : question;
    }

    void askTable(std::size_t node)
    {
        const FreshnessGuard::QuestionId question = m_nodes[node].guard->ask(m_schedule.now());
        m_schedule.after(messageDelay(), [this, node, question, life = m_nodes[node].life]() {
            if (m_isTableDown || m_nodes[node].isTableCut || m_nodes[node].life != life) {
                return;
            }
            const std::int64_t version = m_tableVersion;
            atNode(node, messageDelay(), [this, node, question, version]() {
                m_nodes[node].guard->tableAnswered(receiptQuestion(node, question), version);
                apply(node, version);
            });
        });
    }

    void askMember(std::size_t node, std::size_t member)
    {
        const FreshnessGuard::QuestionId question = m_nodes[node].guard->ask(m_schedule.now());
        const int life = m_nodes[node].life;
        send(node, member, [this, node, member, question, life]() {
            const std::int64_t version = m_nodes[member].guard->version();
            const bool canVouch = m_defect == FreshnessDefect::VouchAtOnce || m_nodes[member].guard->canVouch();
            if (m_nodes[node].life != life) {
                return;
            }
            send(member, node, [this, node, member, question, version, canVouch]() {
                m_nodes[node].guard->memberAnswered(receiptQuestion(node, question), nameOf(member), version, canVouch);
                if (m_schedule.chance(0.7)) {
                    apply(node, version);
                }
            });
        });
    }

    void askRelay(std::size_t node, std::size_t relay)
    {
        const FreshnessGuard::QuestionId question = m_nodes[node].guard->ask(m_schedule.now());
        const int life = m_nodes[node].life;
        send(node, relay, [this, node, relay, question, life]() {
            const FreshnessGuard &guard = *m_nodes[relay].guard;
            const std::optional<TimePoint> proof = guard.proofTime(m_schedule.now());
            if (!proof.has_value() || m_nodes[node].life != life) {
                return;
            }
            const std::int64_t version = guard.version();
            const Duration age = m_defect == FreshnessDefect::RelayWithoutAge ? Duration::zero() : m_schedule.now() - *proof;
            send(relay, node, [this, node, question, version, age]() {
                apply(node, version);
                m_nodes[node].guard->relayAnswered(question, version, age);
            });
        });
    }

    void tick(std::size_t node)
    {
        const bool isLeaf = node >= candidateCount;
        if (!isLeaf) {
            askTable(node);
        }
        const Roster roster = m_documents[m_nodes[node].guard->version()];
        std::set<std::string> members(roster.members.begin(), roster.members.end());
        members.insert(roster.previousMembers.begin(), roster.previousMembers.end());
        for (std::size_t member = 0; member < candidateCount && !isLeaf; ++member) {
            if (member != node && members.count(nameOf(member)) > 0) {
                askMember(node, member);
            }
        }
        if (isLeaf) {
            if (m_schedule.chance(0.02)) {
                m_nodes[node].relay = static_cast<std::size_t>(m_schedule.pick(0, candidateCount - 1));
            }
            askRelay(node, m_nodes[node].relay);
        }
        atNode(node, tickPeriod, [this, node]() {
            tick(node);
        });
    }

    Roster nextRoster()
    {
        Roster roster = m_documents[m_tableVersion];
        if (!roster.previousMembers.empty()) {
            // The joint roster may go once it is accepted.
            const auto accepted = m_accepted.find(m_tableVersion);
            if (accepted != m_accepted.end()) {
                roster.previousMembers.clear();
            }
            return roster;
        }
        if (m_schedule.chance(0.4)) {
            const std::vector<std::string> old = roster.members;
            roster.members.clear();
            const std::int64_t first = m_schedule.pick(0, candidateCount - 1);
            for (std::int64_t i = 0; i < 3; ++i) {
                roster.members.push_back(nameOf(static_cast<std::size_t>(first + i) % candidateCount));
            }
            if (m_defect != FreshnessDefect::RosterInOneStep) {
                roster.previousMembers = old;
            }
        }
        return roster;
    }

    void change()
    {
        const std::size_t node = static_cast<std::size_t>(m_schedule.pick(0, candidateCount - 1));
        m_schedule.after(m_schedule.pickDuration(std::chrono::milliseconds(200), std::chrono::seconds(4)), [this]() {
            change();
        });
        if (m_isTableDown || m_nodes[node].isTableCut || m_schedule.now() < m_nodes[node].pausedUntil) {
            return;
        }
        const Roster roster = nextRoster();
        const std::int64_t version = ++m_tableVersion;
        m_documents[version] = roster;
        apply(node, version);
        if (m_defect == FreshnessDefect::AcceptWhenCommitted) {
            m_accepted[version] = m_schedule.now();
        }
        for (std::size_t member = 0; member < candidateCount; ++member) {
            send(node, member, [this, member, version]() {
                apply(member, version);
            });
        }
        watchAcceptance(node, version);
    }

    void watchAcceptance(std::size_t node, std::int64_t version)
    {
        atNode(node, std::chrono::milliseconds(20), [this, node, version]() {
            const FreshnessGuard &guard = *m_nodes[node].guard;
            if (guard.version() != version) {
                return;
            }
            if (guard.isAccepted(m_schedule.now())) {
                m_accepted.emplace(version, m_schedule.now());
                return;
            }
            watchAcceptance(node, version);
        });
    }

    /** Cuts @p node off from all other candidates, in one direction or both; relays still reach it. */
    void isolate(std::size_t node)
    {
        const std::int64_t direction = m_schedule.pick(0, 2);
        for (std::size_t other = 0; other < candidateCount; ++other) {
            if (direction != 0) {
                m_cuts.insert({node, other});
            }
            if (direction != 1) {
                m_cuts.insert({other, node});
            }
        }
    }

    /** Splits the candidates into two sides that do not reach each other. */
    void split()
    {
        std::vector<bool> isLeft;
        for (std::size_t node = 0; node < candidateCount; ++node) {
            isLeft.push_back(m_schedule.chance(0.5));
        }
        for (std::size_t node = 0; node < candidateCount; ++node) {
            for (std::size_t other = 0; other < candidateCount; ++other) {
                if (isLeft[node] != isLeft[other]) {
                    m_cuts.insert({node, other});
                }
            }
        }
    }

    /** Leaves the table reachable for one node alone. */
    void cutTableExcept(std::size_t node)
    {
        for (std::size_t other = 0; other < candidateCount; ++other) {
            m_nodes[other].isTableCut = other != node;
        }
    }

    void healTable()
    {
        m_isTableDown = false;
        for (Node &node : m_nodes) {
            node.isTableCut = false;
        }
    }

    void restartAndTick(std::size_t node)
    {
        restart(node);
        atNode(node, Duration(0), [this, node]() {
            tick(node);
        });
    }

    void disturb()
    {
        const std::size_t node = static_cast<std::size_t>(m_schedule.pick(0, nodeCount - 1));
        switch (m_schedule.pick(0, 8)) {
        case 0:
            restartAndTick(node);
            break;
        case 1:
            for (std::size_t other = 0; other < candidateCount; ++other) {
                if (m_schedule.chance(0.5)) {
                    restartAndTick(other);
                }
            }
            break;
        case 2:
            m_nodes[node].pausedUntil = m_schedule.now() + m_schedule.pickDuration(Duration(0), std::chrono::seconds(6));
            break;
        case 3:
            isolate(node);
            break;
        case 4:
            m_cuts.clear();
            break;
        case 5:
            cutTableExcept(node);
            break;
        case 6:
            healTable();
            break;
        case 7:
            split();
            cutTableExcept(node);
            break;
        default:
            m_isTableDown = !m_isTableDown;
            break;
        }
        m_schedule.after(m_schedule.pickDuration(std::chrono::milliseconds(50), std::chrono::seconds(3)), [this]() {
            disturb();
        });
    }

    void check()
    {
        std::int64_t mustKnow = 0;
        for (const std::pair<const std::int64_t, TimePoint> &entry : m_accepted) {
            if (m_schedule.now() > entry.second + maxAge) {
                mustKnow = std::max(mustKnow, entry.first);
            }
        }
        for (const Node &node : m_nodes) {
            if (m_schedule.now() < node.pausedUntil) {
                continue;
            }
            const bool isServing = m_defect == FreshnessDefect::ServeWhenCutOff || node.guard->isFresh(m_schedule.now());
            ++m_checks;
            m_servedChecks += isServing ? 1 : 0;
            m_isViolated = m_isViolated || (isServing && node.guard->version() < mustKnow);
        }
        m_schedule.after(std::chrono::milliseconds(20), [this]() {
            check();
        });
    }

public:
    FreshnessWorld(std::uint64_t seed, FreshnessDefect defect)
        : m_schedule(seed)
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
        m_schedule.after(std::chrono::seconds(3), [this, hasFaults]() {
            change();
            check();
            if (hasFaults) {
                disturb();
            }
        });
        m_schedule.run(duration);
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
        return m_accepted.size();
    }

    double servedShare() const
    {
        return static_cast<double>(m_servedChecks) / static_cast<double>(m_checks);
    }
};

}
