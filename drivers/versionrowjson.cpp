#include "drivers/versionrowjson.h"

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

TimePoint localTime(const json &value, Duration clockOffset)
{
    return TimePoint(Duration(value.get<std::int64_t>()) + clockOffset);
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
    try {
        const json document = json::parse(text);
        VersionPeriod period;
        period.service = document.at("service").get<std::string>();
        period.version = document.at("version").get<std::string>();
        period.from = localTime(document.at("fromUs"), clockOffset);
        if (document.contains("untilUs")) {
            period.until = localTime(document.at("untilUs"), clockOffset);
        }
        return versionRowKey(period) == key ? std::optional<VersionPeriod>(period) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
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
    try {
        const json document = json::parse(text);
        StreamRecord record;
        record.service = document.at("service").get<std::string>();
        record.version = document.at("version").get<std::string>();
        record.at = localTime(document.at("atUs"), clockOffset);
        record.isAmbiguous = document.value("ambiguous", false);
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

}
