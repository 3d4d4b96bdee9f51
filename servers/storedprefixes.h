#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace citronspar
{

/** How long a prefix counts as held by a KV cache store after its save, without events of the store. */
constexpr Duration savedLifetime = std::chrono::seconds(20);

/**
 * Tracks the prompt parts held by the KV cache store, from its events and from
 * the saves of this daemon. A prompt is saved only if the store lacks one of its
 * shared parts: a save also transfers the request's own part, and saving every
 * request would saturate the store's link and evict the shared parts within
 * seconds.
 */
class StoredPrefixes
{
public:
    struct Settings
    {
        /** How long a save counts without a confirming event: events are late, and some are lost. */
        Duration unconfirmedLifetime = std::chrono::milliseconds(1200);
        /** The same without a subscription to the store's events, when no save is ever confirmed. */
        Duration unsubscribedLifetime = std::chrono::seconds(8);
        /** How long an event counts, as the event of the part's removal may be lost. */
        Duration confirmedLifetime = std::chrono::seconds(30);
    };

private:
    /** Cache salt and part id. */
    using Key = std::pair<std::string, std::string>;

    struct Part
    {
        TimePoint expiresAt{};
        bool isConfirmed = false;
    };

    Settings m_settings;
    std::map<Key, Part> m_parts;
    bool m_isReachable = true;
    bool m_isSubscribed = true;
    TimePoint m_nextSweep{};

    bool holds(const std::string &salt, const std::string &part, TimePoint now) const;
    void sweep(TimePoint now);

public:
    explicit StoredPrefixes(Settings settings);

    /** Sets whether the store answers. Each request that refers to an unreachable store is delayed by some hundred milliseconds. */
    void setReachable(bool isReachable);
    bool isReachable() const;

    /** Sets whether this daemon receives the store's events, which the store serves to a limited number of daemons at once. */
    void setSubscribed(bool isSubscribed);
    bool isSubscribed() const;

    /** Drops all parts, after the store has restarted empty or its events have a gap. */
    void clear();

    void recordStored(const std::string &salt, const std::string &part, TimePoint now);
    void recordDropped(const std::string &salt, const std::string &part);

    /** Records that a request that saves these parts is being sent. */
    void recordSaveStarted(const std::string &salt, const std::vector<std::string> &parts, TimePoint now);

    /** Whether the store is assumed to hold all of these parts. */
    bool holdsAll(const std::string &salt, const std::vector<std::string> &parts, TimePoint now) const;

    /** Whether a request with these shared parts should be saved to the store. */
    bool shouldSave(const std::string &salt, const std::vector<std::string> &parts, TimePoint now) const;
};

}
