#include "drivers/crashrowjson.h"

#include "drivers/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <string_view>

namespace citronspar
{

namespace
{

using nlohmann::json;

constexpr std::string_view clearancePrefix = "clearance/";
constexpr std::string_view trialPrefix = "trial/";
constexpr int suspectBase = 16;
constexpr std::size_t sentAtIndex = 3;
constexpr std::int64_t maxTrials = 1000000;

std::optional<SuspectId> parseSuspect(std::string_view text)
{
    SuspectId suspect = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), suspect, suspectBase);
    const bool isValid = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return isValid ? std::optional<SuspectId>(suspect) : std::nullopt;
}

/** The time @p value; nullopt if it is of another type or out of range. */
std::optional<TimePoint> localTime(const json &value, Duration clockOffset)
{
    const std::optional<std::int64_t> time = integerOf(value);
    const bool isValid = time.has_value() && *time >= -maxDuration.count() && *time <= maxDuration.count();
    return isValid ? std::optional<TimePoint>(Duration(*time) + clockOffset) : std::nullopt;
}

std::optional<CrashReport> decodeReport(const json &document, Duration clockOffset)
{
    CrashReport report;
    report.crash = document.at("crash").get<std::string>();
    report.reporter = document.at("reporter").get<std::string>();
    for (const json &entry : document.at("suspects")) {
        const std::optional<SuspectId> id = parseSuspect(entry.at(0).get<std::string>());
        if (!id.has_value()) {
            return std::nullopt;
        }
        const std::optional<std::int64_t> completions = integerOf(entry.at(1));
        const bool hasSentAt = entry.size() > sentAtIndex;
        const std::optional<TimePoint> sentAt
            = hasSentAt ? localTime(entry.at(sentAtIndex), clockOffset) : std::optional<TimePoint>(timeNever);
        if (!completions.has_value() || *completions < 0 || !sentAt.has_value()) {
            return std::nullopt;
        }
        const CrashSuspect suspect{*id, entry.at(2).get<bool>(), *completions, *sentAt};
        report.suspects.push_back(suspect);
    }
    return report;
}

bool hasPrefix(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

}

std::string encodeCrashRow(const CrashRow &row, Duration clockOffset)
{
    const bool isReport = row.kind == CrashRow::Kind::Report;
    const TimePoint at = isReport ? row.report.at : row.at;
    json document = {{"atUs", (at.time_since_epoch() - clockOffset).count()}};
    if (isReport) {
        json suspects = json::array();
        for (const CrashSuspect &suspect : row.report.suspects) {
            json entry = json::array({suspectText(suspect.id), suspect.completions, suspect.isWholeRequest});
            if (suspect.sentAt != timeNever) {
                entry.push_back((suspect.sentAt.time_since_epoch() - clockOffset).count());
            }
            suspects.push_back(std::move(entry));
        }
        document["crash"] = row.report.crash;
        document["reporter"] = row.report.reporter;
        document["suspects"] = std::move(suspects);
    }
    if (row.kind == CrashRow::Kind::Trial) {
        document["trials"] = row.trialCount;
    }
    return document.dump();
}

std::optional<CrashRow> decodeCrashRow(const std::string &key, const std::string &value, Duration clockOffset)
{
    try {
        const json document = json::parse(value);
        const std::optional<TimePoint> at = localTime(document.at("atUs"), clockOffset);
        if (!at.has_value()) {
            return std::nullopt;
        }
        const bool isClearance = hasPrefix(key, clearancePrefix);
        if (isClearance || hasPrefix(key, trialPrefix)) {
            const std::size_t prefixSize = isClearance ? clearancePrefix.size() : trialPrefix.size();
            const std::optional<SuspectId> suspect = parseSuspect(std::string_view(key).substr(prefixSize));
            if (!suspect.has_value()) {
                return std::nullopt;
            }
            CrashRow row;
            row.kind = isClearance ? CrashRow::Kind::Clearance : CrashRow::Kind::Trial;
            row.suspect = *suspect;
            row.at = *at;
            const std::optional<std::int64_t> trials = isClearance ? 0 : integerField(document, "trials", 0, maxTrials);
            row.trialCount = static_cast<int>(trials.value_or(0));
            return trials.has_value() ? std::optional<CrashRow>(row) : std::nullopt;
        }
        std::optional<CrashReport> report = decodeReport(document, clockOffset);
        if (!report.has_value()) {
            return std::nullopt;
        }
        report->at = *at;
        CrashRow row;
        row.report = std::move(*report);
        return crashRowKey(row) == key ? std::optional<CrashRow>(row) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

}
