#pragma once

#include "main/configservice.h"
#include "main/configwriter.h"
#include "servers/limitholder.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace citronspar
{

/**
 * Reserves tokens for requests. It asks the holder of the account's shard,
 * holds the shards that the configuration gives to this daemon, and takes a
 * shard over when its holder stays silent.
 */
class LimitService
{
public:
    struct Reservation
    {
        LimitHolder::Grant grant;
        std::string id;
    };

    using GrantHandler = std::function<void(const LimitHolder::Grant &grant)>;
    using ReserveHandler = std::function<void(const Reservation &reservation)>;

private:
    enum class TakeOver {
        None,
        AwaitingAcceptance,
        Waiting,
        WritingRow,
    };

    struct Shard
    {
        LimitHolder holder{LimitHolder::Settings()};
        TakeOver takeOver = TakeOver::None;
        TimePoint startAt{};
        std::int64_t rowRevision = 0;
        LimitRow pendingRow;
        TimePoint silentSince = timeNever;
        bool isChangeOpen = false;
    };

    struct Pending
    {
        std::string shard;
        AttemptId id;
        ReserveHandler handler;
        TimerService::TimerId timer = 0;
    };

    DaemonCore &m_core;
    PeerLinks &m_links;
    ConfigService &m_config;
    ConfigWriter &m_writer;
    std::map<std::string, Shard> m_shards;
    std::map<std::int64_t, Pending> m_pending;

    void configChanged(const FleetState &state);
    void setAccounts(const std::string &name, Shard &shard, const FleetState &state);
    void tick(TimePoint now);
    void advanceTakeOver(const std::string &name, Shard &shard, TimePoint now);
    void readRow(const std::string &name);
    void beginHolding(const std::string &name, const TableRow &row);
    void writeFloors(const std::string &name, Shard &shard, TimePoint now);
    void writePendingRow(const std::string &name);
    void resolveFloorWrite(const std::string &name);
    void sendToHolder(const LimitHolderRow &row, const wire::Body &body);
    void proposeSelf(const std::string &name);
    void handle(const MessageOrigin &origin, const wire::Body &body);
    void answerReserve(const MessageOrigin &origin, const wire::Reserve &reserve);
    void reservationAnswered(const wire::ReserveAnswer &answer);
    void reservationTimedOut(std::int64_t id);
    void reserveWaiting(const std::string &account, const std::string &reservation, double tokens, TimePoint giveUpAt,
                        const GrantHandler &handler);
    LimitHolder::Grant reserveHere(const std::string &account, const std::string &reservation, double tokens);
    bool isHolder(const LimitHolderRow &row) const;

public:
    LimitService(DaemonCore &core, PeerLinks &links, ConfigService &config, ConfigWriter &writer);

    void start();

    /** Reserves @p tokens of @p account; the handler may be called before this returns. */
    void reserve(const std::string &account, std::int64_t tokens, ReserveHandler handler);

    /** Gives back what a request did not use. */
    void giveBack(const std::string &account, const std::string &reservation, std::int64_t tokens);

    /** The shards that this daemon holds and can grant from. */
    std::size_t activeShards() const;

    /** Whether each shard that the configuration gives to this daemon is active. */
    bool isReady() const;
};

}
