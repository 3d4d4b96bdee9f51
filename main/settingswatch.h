#pragma once

#include "main/settings.h"

#include <ctime>
#include <optional>
#include <string>

namespace citronspar
{

/** Notices that the settings file has changed, by a signal or by its time of change. */
class SettingsWatch
{
private:
    std::string m_path;
    timespec m_changedAt{};
    std::string m_lastReason;

    timespec fileTime() const;

public:
    explicit SettingsWatch(std::string path);

    /**
     * The new settings; nothing when there are none.
     * @param isAsked a signal says that the file has changed
     */
    std::optional<Settings> poll(bool isAsked);

    /** Why the last changed file was not taken over; empty when it was. */
    const std::string &lastReason() const;
};

}
