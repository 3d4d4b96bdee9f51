#include "main/settingswatch.h"

#include <sys/stat.h>

#include <utility>

namespace citronspar
{

SettingsWatch::SettingsWatch(std::string path)
    : m_path(std::move(path))
    , m_changedAt(fileTime())
{
}

timespec SettingsWatch::fileTime() const
{
    struct stat status
    {
    };
    return stat(m_path.c_str(), &status) == 0 ? status.st_mtim : timespec{};
}

std::optional<Settings> SettingsWatch::poll(bool isAsked)
{
    m_lastReason.clear();
    const timespec changedAt = fileTime();
    const bool isSame = changedAt.tv_sec == m_changedAt.tv_sec && changedAt.tv_nsec == m_changedAt.tv_nsec;
    if (isSame && !isAsked) {
        return std::nullopt;
    }
    m_changedAt = changedAt;
    SettingsReader reader;
    std::optional<Settings> settings = reader.read(m_path);
    if (!settings.has_value()) {
        m_lastReason = reader.lastReason();
    }
    return settings;
}

const std::string &SettingsWatch::lastReason() const
{
    return m_lastReason;
}

}
