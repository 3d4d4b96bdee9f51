#include "main/limitservice.h"

#include "drivers/log.h"

#include <utility>

namespace citronspar
{

namespace
{

using nlohmann::json;

const log4cxx::LoggerPtr logger = partLogger("limits");

constexpr Duration tickPeriod = std::chrono::milliseconds(200);
constexpr Duration reserveTimeout = std::chrono::milliseconds(800);
// How long a request waits for a floor to be lowered; below the time after which its asker gives up.
constexpr Duration floorPatience = std::chrono::milliseconds(500);
constexpr Duration floorPoll = std::chrono::milliseconds(3);
constexpr Duration silenceLimit = std::chrono::seconds(3);

// A daemon with the old row is not fresh any more after this time; the margin covers clock rates.
constexpr Duration takeOverWait = std::chrono::milliseconds(2100);

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
        handle(origin, body);
    });
}

void LimitService::start()
{
    m_config.onChange([this](const FleetState &state) {
        configChanged(state);
    });
    m_core.timers().subscribe(tickPeriod, [this](TimePoint now) {
        tick(now);
    });
}

bool LimitService::isHolder(const LimitHolderRow &row) const
{
    return row.daemon == m_core.settings().daemon && row.incarnation == m_core.incarnation();
}

void LimitService::configChanged(const FleetState &state)
{
    for (const std::pair<const std::string, LimitHolderRow> &entry : state.holders()) {
        Shard &shard = m_shards[entry.first];
        shard.silentSince = timeNever;
        const bool isOurs = isHolder(entry.second);
        if (!isOurs && (shard.holder.isActive() || shard.takeOver != TakeOver::None)) {
            LOG4CXX_INFO(logger, "shard " << entry.first << " is held by " << entry.second.daemon << " now");
            shard.holder.end();
            shard.takeOver = TakeOver::None;
        }
        if (isOurs && shard.holder.isActive()) {
            setAccounts(entry.first, shard, state);
        } else if (isOurs && shard.takeOver == TakeOver::None) {
            shard.takeOver = TakeOver::AwaitingAcceptance;
        } else if (!isOurs && entry.second.daemon == m_core.settings().daemon) {
            proposeSelf(entry.first);
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

void LimitService::proposeSelf(const std::string &name)
{
    Shard &shard = m_shards[name];
    if (shard.isChangeOpen) {
        return;
    }
    shard.isChangeOpen = true;
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
        changed.isChangeOpen = false;
        if (!result.error.has_value()) {
            m_core.record("limits", "takes shard " + name);
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
            entry.second.holder.expire(now);
        }
        const bool isSilent = entry.second.silentSince != timeNever && now - entry.second.silentSince > silenceLimit;
        const auto row = m_config.state().holders().find(entry.first);
        if (row == m_config.state().holders().end()) {
            continue;
        }
        const bool isLostRestart = row->second.daemon == m_core.settings().daemon && !isHolder(row->second);
        if ((isSilent || isLostRestart) && !isHolder(row->second)) {
            entry.second.silentSince = timeNever;
            proposeSelf(entry.first);
        }
    }
}

void LimitService::advanceTakeOver(const std::string &name, Shard &shard, TimePoint now)
{
    if (shard.takeOver == TakeOver::AwaitingAcceptance && m_config.isAccepted()) {
        shard.takeOver = TakeOver::Waiting;
        shard.startAt = now + takeOverWait;
    }
    if (shard.takeOver == TakeOver::Waiting && now >= shard.startAt) {
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
        beginHolding(name, *row);
    });
}

void LimitService::beginHolding(const std::string &name, const TableRow &row)
{
    Shard &shard = m_shards[name];
    const std::int64_t epoch = m_config.state().holders().at(name).epoch;
    shard.pendingRow = rowFromJson(row.value);
    if (!LimitHolder::canClaim(shard.pendingRow, epoch)) {
        LOG4CXX_WARN(logger, "shard " << name << " has a later holder");
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
        written.holder.begin(written.pendingRow, Loop::now());
        setAccounts(name, written, m_config.state());
        LOG4CXX_INFO(logger, "holds shard " << name << " at epoch " << written.pendingRow.epoch);
        m_core.record("limits", "holds shard " + name);
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
                                    written.holder.writeCommitted();
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
            // The row is ours and newer than the last one known: the lost write took effect.
            shard.rowRevision = row->revision;
            shard.holder.writeCommitted();
            return;
        }
        if (row.has_value() && stored.epoch != shard.holder.epoch()) {
            return;
        }
        // The lost write may still come, so the floor in flight stays until a write at this revision is settled.
        m_core.timers().subscribeOnce(tickPeriod, [this, name](TimePoint) {
            writePendingRow(name);
        });
    });
}

LimitHolder::Grant LimitService::reserveHere(const std::string &account, const std::string &reservation, double tokens)
{
    Shard &shard = m_shards[m_config.state().shardOf(account)];
    // Checked at each grant: a holder that was paused may have been replaced.
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

void LimitService::reserveWaiting(const std::string &account, const std::string &reservation, double tokens, TimePoint giveUpAt,
                                  const GrantHandler &handler)
{
    const LimitHolder::Grant grant = reserveHere(account, reservation, tokens);
    const bool isHeldUp = !grant.isGranted && grant.kind == ErrorKind::LimitsUnavailable;
    if (!isHeldUp || Loop::now() >= giveUpAt) {
        handler(grant);
        return;
    }
    // Only the floor is in the way, so it is lowered at once and the request waits for the write.
    const std::string name = m_config.state().shardOf(account);
    writeFloors(name, m_shards[name], Loop::now());
    m_core.timers().subscribeOnce(floorPoll, [this, account, reservation, tokens, giveUpAt, handler](TimePoint) {
        reserveWaiting(account, reservation, tokens, giveUpAt, handler);
    });
}

void LimitService::reserve(const std::string &account, std::int64_t tokens, ReserveHandler handler)
{
    const AttemptId id = m_core.nextId();
    const std::string name = m_config.state().shardOf(account);
    const auto row = m_config.state().holders().find(name);
    if (row == m_config.state().holders().end()) {
        handler(Reservation{LimitHolder::Grant{false, silenceLimit, ErrorKind::LimitsUnavailable}, std::string()});
        return;
    }
    if (isHolder(row->second)) {
        const GrantHandler granted = [handler, id](const LimitHolder::Grant &grant) {
            handler(Reservation{grant, id.toString()});
        };
        reserveWaiting(account, id.toString(), static_cast<double>(tokens), Loop::now() + floorPatience, granted);
        return;
    }
    wire::Reserve reserve;
    reserve.__set_reservationId(id.counter);
    reserve.__set_account(account);
    reserve.__set_tokens(tokens);
    wire::Body body;
    body.__set_reserve(reserve);
    sendToHolder(row->second, body);
    Pending pending;
    pending.shard = name;
    pending.id = id;
    pending.handler = std::move(handler);
    pending.timer = m_core.timers().subscribeOnce(reserveTimeout, [this, id](TimePoint) {
        reservationTimedOut(id.counter);
    });
    m_pending[id.counter] = std::move(pending);
}

void LimitService::reservationTimedOut(std::int64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const Pending pending = std::move(found->second);
    m_pending.erase(found);
    Shard &shard = m_shards[pending.shard];
    if (shard.silentSince == timeNever) {
        shard.silentSince = Loop::now();
    }
    pending.handler(Reservation{LimitHolder::Grant{false, tickPeriod, ErrorKind::LimitsUnavailable}, std::string()});
}

void LimitService::reservationAnswered(const wire::ReserveAnswer &answer)
{
    const auto found = m_pending.find(answer.reservationId);
    if (found == m_pending.end()) {
        return;
    }
    const Pending pending = std::move(found->second);
    m_pending.erase(found);
    m_core.timers().unsubscribe(pending.timer);
    m_shards[pending.shard].silentSince = timeNever;
    LimitHolder::Grant grant;
    grant.isGranted = answer.isGranted;
    grant.retryAfter = std::chrono::milliseconds(answer.retryAfterMilliseconds);
    grant.kind = errorKindFromName(answer.errorKind).value_or(ErrorKind::LimitsUnavailable);
    pending.handler(Reservation{grant, pending.id.toString()});
}

void LimitService::giveBack(const std::string &account, const std::string &reservation, std::int64_t tokens)
{
    const std::optional<AttemptId> id = AttemptId::fromString(reservation);
    const std::string name = m_config.state().shardOf(account);
    const auto row = m_config.state().holders().find(name);
    if (!id.has_value() || row == m_config.state().holders().end()) {
        return;
    }
    if (isHolder(row->second)) {
        m_shards[name].holder.giveBack(reservation, static_cast<double>(tokens), Loop::now());
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

void LimitService::handle(const MessageOrigin &origin, const wire::Body &body)
{
    if (body.__isset.reserve) {
        answerReserve(origin, body.reserve);
    } else if (body.__isset.reserveAnswer) {
        reservationAnswered(body.reserveAnswer);
    } else if (body.__isset.giveBack) {
        const AttemptId id{origin.incarnation, body.giveBack.reservationId};
        Shard &shard = m_shards[m_config.state().shardOf(body.giveBack.account)];
        shard.holder.giveBack(id.toString(), static_cast<double>(body.giveBack.tokens), Loop::now());
    }
}

void LimitService::answerReserve(const MessageOrigin &origin, const wire::Reserve &reserve)
{
    const AttemptId id{origin.incarnation, reserve.reservationId};
    const GrantHandler answerGrant = [this, origin, reserve](const LimitHolder::Grant &grant) {
        wire::ReserveAnswer answer;
        answer.__set_reservationId(reserve.reservationId);
        answer.__set_isGranted(grant.isGranted);
        answer.__set_retryAfterMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(grant.retryAfter).count());
        answer.__set_errorKind(errorAnswer(grant.kind).name);
        wire::Body body;
        body.__set_reserveAnswer(answer);
        m_links.send(origin.link, body);
    };
    reserveWaiting(reserve.account, id.toString(), static_cast<double>(reserve.tokens), Loop::now() + floorPatience, answerGrant);
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
