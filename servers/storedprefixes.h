#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace citronspar
{

/**
 * What the store of kept KV cache holds, by its events and by what was sent
 * there. A prompt is saved only when the store lacks one of its shared parts:
 * a save brings the request's own part along, and saving each request would
 * fill the store's link and push the shared parts out within seconds.
 */
class StoredPrefixes
{
public:
    struct Settings
    {
        /** A save that no event has confirmed counts for this long: events are late, and some are lost. */
        Duration unconfirmedTime = std::chrono::milliseconds(1200);
        /** The same where the store's events are not followed, and nothing confirms any save. */
        Duration unfollowedTime = std::chrono::seconds(8);
        /** What an event told counts for this long, as the event of its removal may be lost. */
        Duration confirmedTime = std::chrono::seconds(30);
    };

private:
    /** Salt and part id. */
    using Key = std::pair<std::string, std::string>;

    struct Part
    {
        TimePoint until{};
        bool isConfirmed = false;
    };

    Settings m_settings;
    std::map<Key, Part> m_parts;
    bool m_isReachable = true;
    bool m_isFollowed = true;
    TimePoint m_nextSweep{};

    bool holds(const std::string &salt, const std::string &part, TimePoint now) const;
    void sweep(TimePoint now);

public:
    explicit StoredPrefixes(Settings settings);

    /** Whether the store answers; a dead one costs each request that names it some hundred milliseconds. */
    void setReachable(bool isReachable);
    bool isReachable() const;

    /** Whether the store's events are followed: it serves only some daemons at once. */
    void setFollowed(bool isFollowed);
    bool isFollowed() const;

    /** The store has restarted empty, or its events have a gap. */
    void clear();

    void noteStored(const std::string &salt, const std::string &part, TimePoint now);
    void noteDropped(const std::string &salt, const std::string &part);

    /** A request goes out that saves these parts. */
    void noteSaving(const std::string &salt, const std::vector<std::string> &parts, TimePoint now);

    /** Whether the store holds all of these parts, as far as is known. */
    bool holdsAll(const std::string &salt, const std::vector<std::string> &parts, TimePoint now) const;

    /** Whether a request with these shared parts should be saved. */
    bool shouldSave(const std::string &salt, const std::vector<std::string> &parts, TimePoint now) const;
};

}
