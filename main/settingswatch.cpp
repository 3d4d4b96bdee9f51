#include "main/settingswatch.h"

#include <sys/stat.h>

#include <utility>

namespace citronspar
{

SettingsWatch::SettingsWatch(std::string path)
    : m_path(std::move(path))
    , m_modifiedAt(modificationTime())
{
}

timespec SettingsWatch::modificationTime() const
{
    struct stat status
    {
    };
    return stat(m_path.c_str(), &status) == 0 ? status.st_mtim : timespec{};
}

std::optional<Settings> SettingsWatch::poll(bool isReloadRequested)
{
    m_lastError.clear();
    const timespec modifiedAt = modificationTime();
    const bool isUnchanged = modifiedAt.tv_sec == m_modifiedAt.tv_sec && modifiedAt.tv_nsec == m_modifiedAt.tv_nsec;
    if (isUnchanged && !isReloadRequested) {
        return std::nullopt;
    }
    m_modifiedAt = modifiedAt;
    SettingsReader reader;
    std::optional<Settings> settings = reader.read(m_path);
    if (!settings.has_value()) {
        m_lastError = reader.lastError();
    }
    return settings;
}

const std::string &SettingsWatch::lastError() const
{
    return m_lastError;
}

}
