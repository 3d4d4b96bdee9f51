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
 * Reserves tokens for requests at the daemon that holds the account's shard.
 * It also holds the shards that the configuration assigns to this daemon and
 * takes over a shard whose holder does not respond.
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
        WaitingForExpiry,
        WritingRow,
    };

    struct Shard
    {
        LimitHolder holder{LimitHolder::Settings()};
        TakeOver takeOver = TakeOver::None;
        TimePoint takeOverAt{};
        std::int64_t rowRevision = 0;
        LimitRow pendingRow;
        TimePoint unresponsiveSince = timeNever;
        bool isClaimPending = false;
    };

    struct PendingReservation
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
    std::map<std::int64_t, PendingReservation> m_pendingReservations;

    void handleConfigChange(const FleetState &state);
    void setAccounts(const std::string &name, Shard &shard, const FleetState &state);
    void tick(TimePoint now);
    void advanceTakeOver(const std::string &name, Shard &shard, TimePoint now);
    void readRow(const std::string &name);
    void activateShard(const std::string &name, const TableRow &row);
    void writeFloors(const std::string &name, Shard &shard, TimePoint now);
    void writePendingRow(const std::string &name);
    void resolveFloorWrite(const std::string &name);
    void sendToHolder(const LimitHolderRow &row, const wire::Body &body);
    void claimShard(const std::string &name);
    void handleMessage(const MessageOrigin &origin, const wire::Body &body);
    void handleReserve(const MessageOrigin &origin, const wire::Reserve &reserve);
    void handleReserveAnswer(const wire::ReserveAnswer &answer);
    void handleReserveTimeout(std::int64_t id);
    void reserveWithFloorWait(const std::string &account, const std::string &reservation, double tokens, TimePoint waitDeadline,
                              const GrantHandler &handler);
    LimitHolder::Grant reserveLocally(const std::string &account, const std::string &reservation, double tokens);
    bool isHolder(const LimitHolderRow &row) const;

public:
    LimitService(DaemonCore &core, PeerLinks &links, ConfigService &config, ConfigWriter &writer);

    void start();

    /** Reserves @p tokens for @p account. The handler is called once, possibly before this returns. */
    void reserve(const std::string &account, std::int64_t tokens, ReserveHandler handler);

    /** Returns the unused @p tokens of a reservation to the account's bucket. */
    void refund(const std::string &account, const std::string &reservation, std::int64_t tokens);

    /** Returns the number of shards for which this daemon is the active holder. */
    std::size_t activeShards() const;

    /** Returns whether every shard that the configuration assigns to this daemon is active. */
    bool isReady() const;
};

}
