#pragma once

#include "core/errorkind.h"
#include "main/configservice.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>

namespace citronspar
{

/** Outcome of a configuration change. */
struct ChangeResult
{
    std::optional<ErrorKind> error;
    std::string reason;
    std::int64_t version = 0;
};

/**
 * Commits configuration changes in one transaction on the version row and the
 * document row. If the reply to the transaction is lost, the writer reads the
 * id of the change back from the version row; it never repeats the write.
 */
class ConfigWriter
{
public:
    using DoneHandler = std::function<void(const ChangeResult &result)>;

    /** Derives the new document from the current one. Returns nullopt if the change no longer applies. */
    using Edit = std::function<std::optional<nlohmann::json>(const nlohmann::json &document)>;

private:
    struct Change;

    DaemonCore &m_core;
    ConfigService &m_config;

    void readRows(const std::shared_ptr<Change> &change);
    void write(const std::shared_ptr<Change> &change);
    void applyLocally(const Change &change);
    void readBack(const std::shared_ptr<Change> &change);
    void finish(const std::shared_ptr<Change> &change, std::optional<ErrorKind> error, const std::string &reason);

public:
    ConfigWriter(DaemonCore &core, ConfigService &config);

    /**
     * Applies @p edit to the newest document and commits the result.
     * @param expectedVersion if set, the change fails with VersionConflict unless this version is current
     */
    void commit(Edit edit, std::optional<std::int64_t> expectedVersion, DoneHandler handler);
};

}
