#include "main/limitservice.h"

#include "drivers/log.h"

#include <utility>

namespace citronspar
{

namespace
{

using nlohmann::json;

const log4cxx::LoggerPtr logger = componentLogger("limits");

constexpr Duration tickPeriod = std::chrono::milliseconds(200);
constexpr Duration reserveTimeout = std::chrono::milliseconds(800);
// How long a reservation waits for a lower floor to be committed. Below reserveTimeout, so that the requester still
// gets the answer.
constexpr Duration maxFloorWait = std::chrono::milliseconds(500);
constexpr Duration floorPollInterval = std::chrono::milliseconds(3);
constexpr Duration holderTimeout = std::chrono::seconds(3);

// After this time, a daemon whose configuration still names the previous holder is no longer fresh, so it can't grant
// any more. The margin above FreshnessGuard::Settings::maxAge covers clocks that run at different rates.
constexpr Duration takeOverDelay = std::chrono::milliseconds(2100);

std::string rowKey(const std::string &shard)
{
    return "limits/" + shard;
}

json rowToJson(const LimitRow &row)
{
    return json{{"epoch", row.epoch}, {"floors", row.floors}};
}

LimitRow rowFromJson(const json &value)
{
    LimitRow row;
    if (value.is_object()) {
        row.epoch = value.value("epoch", std::int64_t(0));
        row.floors = value.value("floors", std::map<std::string, double>());
    }
    return row;
}

}

LimitService::LimitService(DaemonCore &core, PeerLinks &links, ConfigService &config, ConfigWriter &writer)
    : m_core(core)
    , m_links(links)
    , m_config(config)
    , m_writer(writer)
{
    m_links.onMessage([this](const MessageOrigin &origin, const wire::Body &body) {
        handleMessage(origin, body);
    });
}

void LimitService::start()
{
    m_config.onChange([this](const FleetState &state) {
        handleConfigChange(state);
    });
    m_core.timers().subscribe(tickPeriod, [this](TimePoint now) {
        tick(now);
    });
}

bool LimitService::isHolder(const LimitHolderRow &row) const
{
    return row.daemon == m_core.settings().daemon && row.incarnation == m_core.incarnation();
}

void LimitService::handleConfigChange(const FleetState &state)
{
    for (const std::pair<const std::string, LimitHolderRow> &entry : state.holders()) {
        Shard &shard = m_shards[entry.first];
        shard.unresponsiveSince = timeNever;
        const bool isOwnShard = isHolder(entry.second);
        if (!isOwnShard && (shard.holder.isActive() || shard.takeOver != TakeOver::None)) {
            LOG4CXX_INFO(logger, "shard " << entry.first << " is held by daemon " << entry.second.daemon << " now");
            shard.holder.deactivate();
            shard.takeOver = TakeOver::None;
        }
        if (isOwnShard && shard.holder.isActive()) {
            setAccounts(entry.first, shard, state);
        } else if (isOwnShard && shard.takeOver == TakeOver::None) {
            shard.takeOver = TakeOver::AwaitingAcceptance;
        } else if (!isOwnShard && entry.second.daemon == m_core.settings().daemon) {
            claimShard(entry.first);
        }
    }
}

void LimitService::setAccounts(const std::string &name, Shard &shard, const FleetState &state)
{
    for (const std::pair<const std::string, Account> &entry : state.accounts()) {
        if (state.shardOf(entry.first) == name) {
            shard.holder.setAccount(entry.first, entry.second.tokensPerSecond, entry.second.burstTokens, Loop::now());
        }
    }
}

void LimitService::claimShard(const std::string &name)
{
    Shard &shard = m_shards[name];
    if (shard.isClaimPending) {
        return;
    }
    shard.isClaimPending = true;
    const std::int64_t epoch = m_config.state().holders().at(name).epoch;
    const std::string daemon = m_core.settings().daemon;
    const std::int64_t incarnation = m_core.incarnation();
    const ConfigWriter::Edit edit = [name, epoch, daemon, incarnation](const json &document) -> std::optional<json> {
        const json holders = document.value("holders", json::object());
        if (!holders.contains(name) || holders[name].value("epoch", std::int64_t(0)) != epoch) {
            return std::nullopt;
        }
        json changed = document;
        changed["holders"][name] = {{"daemon", daemon}, {"incarnation", incarnation}, {"epoch", epoch + 1}};
        return changed;
    };
    m_writer.commit(edit, std::nullopt, [this, name](const ChangeResult &result) {
        Shard &changed = m_shards[name];
        changed.isClaimPending = false;
        if (!result.error.has_value()) {
            m_core.record("limits", "claimed shard " + name);
            m_config.pushToRoster();
        }
    });
}

void LimitService::tick(TimePoint now)
{
    for (std::pair<const std::string, Shard> &entry : m_shards) {
        advanceTakeOver(entry.first, entry.second, now);
        if (entry.second.holder.isActive()) {
            writeFloors(entry.first, entry.second, now);
            entry.second.holder.expireReservations(now);
        }
        const bool isHolderUnresponsive
            = entry.second.unresponsiveSince != timeNever && now - entry.second.unresponsiveSince > holderTimeout;
        const auto row = m_config.state().holders().find(entry.first);
        if (row == m_config.state().holders().end()) {
            continue;
        }
        const bool isHeldByEarlierRun = row->second.daemon == m_core.settings().daemon && !isHolder(row->second);
        if ((isHolderUnresponsive || isHeldByEarlierRun) && !isHolder(row->second)) {
            entry.second.unresponsiveSince = timeNever;
            claimShard(entry.first);
        }
    }
}

void LimitService::advanceTakeOver(const std::string &name, Shard &shard, TimePoint now)
{
    if (shard.takeOver == TakeOver::AwaitingAcceptance && m_config.isAccepted()) {
        shard.takeOver = TakeOver::WaitingForExpiry;
        shard.takeOverAt = now + takeOverDelay;
    }
    if (shard.takeOver == TakeOver::WaitingForExpiry && now >= shard.takeOverAt) {
        shard.takeOver = TakeOver::WritingRow;
        readRow(name);
    }
}

void LimitService::readRow(const std::string &name)
{
    m_core.table().read(rowKey(name), [this, name](const std::optional<TableRow> &row) {
        if (m_shards[name].takeOver != TakeOver::WritingRow) {
            return;
        }
        if (!row.has_value()) {
            m_core.timers().subscribeOnce(tickPeriod, [this, name](TimePoint) {
                readRow(name);
            });
            return;
        }
        activateShard(name, *row);
    });
}

void LimitService::activateShard(const std::string &name, const TableRow &row)
{
    Shard &shard = m_shards[name];
    const std::int64_t epoch = m_config.state().holders().at(name).epoch;
    shard.pendingRow = rowFromJson(row.value);
    if (!LimitHolder::canClaim(shard.pendingRow, epoch)) {
        LOG4CXX_WARN(logger, "shard " << name << " not taken over: its row has a later epoch");
        shard.takeOver = TakeOver::None;
        return;
    }
    shard.pendingRow.epoch = epoch;
    m_core.table().transact({TablePut{rowKey(name), row.revision, rowToJson(shard.pendingRow)}}, [this, name](const TableReply &reply) {
        Shard &written = m_shards[name];
        if (written.takeOver != TakeOver::WritingRow) {
            return;
        }
        if (reply.outcome != TableOutcome::Committed) {
            readRow(name);
            return;
        }
        written.rowRevision = reply.rows.front().revision;
        written.takeOver = TakeOver::None;
        written.holder.activate(written.pendingRow, Loop::now());
        setAccounts(name, written, m_config.state());
        LOG4CXX_INFO(logger, "took over shard " << name << " at epoch " << written.pendingRow.epoch);
        m_core.record("limits", "took over shard " + name);
    });
}

void LimitService::writeFloors(const std::string &name, Shard &shard, TimePoint now)
{
    const std::optional<LimitRow> row = shard.holder.nextWrite(now);
    if (!row.has_value()) {
        return;
    }
    shard.pendingRow = *row;
    writePendingRow(name);
}

void LimitService::writePendingRow(const std::string &name)
{
    const Shard &shard = m_shards[name];
    if (!shard.holder.isActive()) {
        return;
    }
    m_core.table().transact({TablePut{rowKey(name), shard.rowRevision, rowToJson(shard.pendingRow)}},
                            [this, name](const TableReply &reply) {
                                Shard &written = m_shards[name];
                                if (reply.outcome == TableOutcome::Committed) {
                                    written.rowRevision = reply.rows.front().revision;
                                    written.holder.handleWriteCommit();
                                } else {
                                    resolveFloorWrite(name);
                                }
                            });
}

void LimitService::resolveFloorWrite(const std::string &name)
{
    m_core.table().read(rowKey(name), [this, name](const std::optional<TableRow> &row) {
        Shard &shard = m_shards[name];
        if (!shard.holder.isActive()) {
            return;
        }
        const LimitRow stored = row.has_value() ? rowFromJson(row->value) : LimitRow();
        if (row.has_value() && stored.epoch == shard.holder.epoch() && row->revision != shard.rowRevision) {
            // The row has our epoch and a newer revision, so the write with the unknown outcome was committed.
            shard.rowRevision = row->revision;
            shard.holder.handleWriteCommit();
            return;
        }
        if (row.has_value() && stored.epoch != shard.holder.epoch()) {
            return;
        }
        // The write may still be committed, so the pending floor is kept until a write at this revision succeeds.
        m_core.timers().subscribeOnce(tickPeriod, [this, name](TimePoint) {
            writePendingRow(name);
        });
    });
}

LimitHolder::Grant LimitService::reserveLocally(const std::string &account, const std::string &reservation, double tokens)
{
    Shard &shard = m_shards[m_config.state().shardOf(account)];
    // Checked for each grant, because a holder that was suspended may have been replaced meanwhile.
    if (!m_config.isFresh()) {
        return LimitHolder::Grant{false, tickPeriod, ErrorKind::NotFresh};
    }
    return shard.holder.reserve(account, reservation, tokens, Loop::now());
}

void LimitService::sendToHolder(const LimitHolderRow &row, const wire::Body &body)
{
    const auto address = m_config.state().daemons().find(row.daemon);
    if (address != m_config.state().daemons().end()) {
        m_links.sendTo(address->second, body);
    }
}

void LimitService::reserveWithFloorWait(const std::string &account, const std::string &reservation, double tokens, TimePoint waitDeadline,
                                        const GrantHandler &handler)
{
    const LimitHolder::Grant grant = reserveLocally(account, reservation, tokens);
    const bool isBlockedByFloor = !grant.isGranted && grant.kind == ErrorKind::LimitsUnavailable;
    if (!isBlockedByFloor || Loop::now() >= waitDeadline) {
        handler(grant);
        return;
    }
    // Only the floor blocks the reservation: write a lower one now and retry until it is committed.
    const std::string name = m_config.state().shardOf(account);
    writeFloors(name, m_shards[name], Loop::now());
    m_core.timers().subscribeOnce(floorPollInterval, [this, account, reservation, tokens, waitDeadline, handler](TimePoint) {
        reserveWithFloorWait(account, reservation, tokens, waitDeadline, handler);
    });
}

void LimitService::reserve(const std::string &account, std::int64_t tokens, ReserveHandler handler)
{
    const AttemptId id = m_core.nextId();
    const std::string name = m_config.state().shardOf(account);
    const auto row = m_config.state().holders().find(name);
    if (row == m_config.state().holders().end()) {
        handler(Reservation{LimitHolder::Grant{false, holderTimeout, ErrorKind::LimitsUnavailable}, std::string()});
        return;
    }
    if (isHolder(row->second)) {
        const GrantHandler onGrant = [handler, id](const LimitHolder::Grant &grant) {
            handler(Reservation{grant, id.toString()});
        };
        reserveWithFloorWait(account, id.toString(), static_cast<double>(tokens), Loop::now() + maxFloorWait, onGrant);
        return;
    }
    wire::Reserve reserve;
    reserve.__set_reservationId(id.counter);
    reserve.__set_account(account);
    reserve.__set_tokens(tokens);
    wire::Body body;
    body.__set_reserve(reserve);
    sendToHolder(row->second, body);
    PendingReservation pending;
    pending.shard = name;
    pending.id = id;
    pending.handler = std::move(handler);
    pending.timer = m_core.timers().subscribeOnce(reserveTimeout, [this, id](TimePoint) {
        handleReserveTimeout(id.counter);
    });
    m_pendingReservations[id.counter] = std::move(pending);
}

void LimitService::handleReserveTimeout(std::int64_t id)
{
    const auto found = m_pendingReservations.find(id);
    if (found == m_pendingReservations.end()) {
        return;
    }
    const PendingReservation pending = std::move(found->second);
    m_pendingReservations.erase(found);
    Shard &shard = m_shards[pending.shard];
    if (shard.unresponsiveSince == timeNever) {
        shard.unresponsiveSince = Loop::now();
    }
    pending.handler(Reservation{LimitHolder::Grant{false, tickPeriod, ErrorKind::LimitsUnavailable}, std::string()});
}

void LimitService::handleReserveAnswer(const wire::ReserveAnswer &answer)
{
    const auto found = m_pendingReservations.find(answer.reservationId);
    if (found == m_pendingReservations.end()) {
        return;
    }
    const PendingReservation pending = std::move(found->second);
    m_pendingReservations.erase(found);
    m_core.timers().unsubscribe(pending.timer);
    m_shards[pending.shard].unresponsiveSince = timeNever;
    LimitHolder::Grant grant;
    grant.isGranted = answer.isGranted;
    grant.retryAfter = std::chrono::milliseconds(answer.retryAfterMilliseconds);
    grant.kind = errorKindFromName(answer.errorKind).value_or(ErrorKind::LimitsUnavailable);
    pending.handler(Reservation{grant, pending.id.toString()});
}

void LimitService::refund(const std::string &account, const std::string &reservation, std::int64_t tokens)
{
    const std::optional<AttemptId> id = AttemptId::fromString(reservation);
    const std::string name = m_config.state().shardOf(account);
    const auto row = m_config.state().holders().find(name);
    if (!id.has_value() || row == m_config.state().holders().end()) {
        return;
    }
    if (isHolder(row->second)) {
        m_shards[name].holder.refund(reservation, static_cast<double>(tokens), Loop::now());
        return;
    }
    wire::GiveBack message;
    message.__set_reservationId(id->counter);
    message.__set_account(account);
    message.__set_tokens(tokens);
    wire::Body body;
    body.__set_giveBack(message);
    sendToHolder(row->second, body);
}

void LimitService::handleMessage(const MessageOrigin &origin, const wire::Body &body)
{
    if (body.__isset.reserve) {
        handleReserve(origin, body.reserve);
    } else if (body.__isset.reserveAnswer) {
        handleReserveAnswer(body.reserveAnswer);
    } else if (body.__isset.giveBack) {
        const AttemptId id{origin.incarnation, body.giveBack.reservationId};
        Shard &shard = m_shards[m_config.state().shardOf(body.giveBack.account)];
        shard.holder.refund(id.toString(), static_cast<double>(body.giveBack.tokens), Loop::now());
    }
}

void LimitService::handleReserve(const MessageOrigin &origin, const wire::Reserve &reserve)
{
    const AttemptId id{origin.incarnation, reserve.reservationId};
    const GrantHandler answerGrant = [this, origin, reserve](const LimitHolder::Grant &grant) {
        wire::ReserveAnswer answer;
        answer.__set_reservationId(reserve.reservationId);
        answer.__set_isGranted(grant.isGranted);
        answer.__set_retryAfterMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(grant.retryAfter).count());
        answer.__set_errorKind(errorResponse(grant.kind).name);
        wire::Body body;
        body.__set_reserveAnswer(answer);
        m_links.send(origin.link, body);
    };
    reserveWithFloorWait(reserve.account, id.toString(), static_cast<double>(reserve.tokens), Loop::now() + maxFloorWait, answerGrant);
}

std::size_t LimitService::activeShards() const
{
    std::size_t count = 0;
    for (const std::pair<const std::string, Shard> &entry : m_shards) {
        count += entry.second.holder.isActive() ? 1 : 0;
    }
    return count;
}

bool LimitService::isReady() const
{
    for (const std::pair<const std::string, LimitHolderRow> &entry : m_config.state().holders()) {
        const auto shard = m_shards.find(entry.first);
        const bool isActive = shard != m_shards.end() && shard->second.holder.isActive();
        if (entry.second.daemon == m_core.settings().daemon && !isActive) {
            return false;
        }
    }
    return true;
}

}
