#pragma once

#include "main/settings.h"

#include <ctime>
#include <optional>
#include <string>

namespace citronspar
{

/** Reloads the settings file when its modification time changes or a reload is requested. */
class SettingsWatch
{
private:
    std::string m_path;
    timespec m_modifiedAt{};
    std::string m_lastError;

    timespec modificationTime() const;

public:
    explicit SettingsWatch(std::string path);

    /**
     * Returns the new settings, or nullopt if the file is unchanged or invalid.
     * @param isReloadRequested reads the file even if its modification time is unchanged
     */
    std::optional<Settings> poll(bool isReloadRequested);

    /** Why the last poll could not load the file; empty if there was no error. */
    const std::string &lastError() const;
};

}
