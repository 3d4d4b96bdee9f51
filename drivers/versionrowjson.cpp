#include "drivers/versionrowjson.h"

#include "drivers/jsonnumber.h"

#include <nlohmann/json.hpp>

namespace citronspar
{

namespace
{

using nlohmann::json;

std::int64_t tableTime(TimePoint at, Duration clockOffset)
{
    return (at.time_since_epoch() - clockOffset).count();
}

/** The time in the field @p name; nullopt if it is missing, of another type or out of range. */
std::optional<TimePoint> localTime(const json &document, const char *name, Duration clockOffset)
{
    const std::optional<std::int64_t> time = integerField(document, name, -maxDuration.count(), maxDuration.count());
    return time.has_value() ? std::optional<TimePoint>(Duration(*time) + clockOffset) : std::nullopt;
}

bool hasTexts(const json &document)
{
    return document.is_object() && document.contains("service") && document.at("service").is_string() && document.contains("version")
        && document.at("version").is_string();
}

}

std::string encodeVersionPeriod(const VersionPeriod &period, Duration clockOffset)
{
    json document = {{"service", period.service}, {"version", period.version}, {"fromUs", tableTime(period.from, clockOffset)}};
    if (period.until != timeNever) {
        document["untilUs"] = tableTime(period.until, clockOffset);
    }
    return document.dump();
}

std::optional<VersionPeriod> decodeVersionPeriod(const std::string &key, const std::string &text, Duration clockOffset)
{
    const json document = json::parse(text, nullptr, false);
    const std::optional<TimePoint> from = hasTexts(document) ? localTime(document, "fromUs", clockOffset) : std::nullopt;
    if (!from.has_value()) {
        return std::nullopt;
    }
    VersionPeriod period{document.at("service").get<std::string>(), document.at("version").get<std::string>(), *from, timeNever};
    if (document.contains("untilUs")) {
        const std::optional<TimePoint> until = localTime(document, "untilUs", clockOffset);
        if (!until.has_value()) {
            return std::nullopt;
        }
        period.until = *until;
    }
    return versionRowKey(period) == key ? std::optional<VersionPeriod>(period) : std::nullopt;
}

std::string encodeStreamRecord(const StreamRecord &record, Duration clockOffset)
{
    json document = {{"service", record.service}, {"version", record.version}, {"atUs", tableTime(record.at, clockOffset)}};
    if (record.isAmbiguous) {
        document["ambiguous"] = true;
    }
    return document.dump();
}

std::optional<StreamRecord> decodeStreamRecord(const std::string &text, Duration clockOffset)
{
    const json document = json::parse(text, nullptr, false);
    const std::optional<TimePoint> at = hasTexts(document) ? localTime(document, "atUs", clockOffset) : std::nullopt;
    const bool hasFlag = at.has_value() && document.contains("ambiguous");
    if (!at.has_value() || (hasFlag && !document.at("ambiguous").is_boolean())) {
        return std::nullopt;
    }
    return StreamRecord{document.at("service").get<std::string>(), document.at("version").get<std::string>(),
                        hasFlag && document.at("ambiguous").get<bool>(), *at};
}

}
