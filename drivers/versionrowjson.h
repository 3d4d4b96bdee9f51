#pragma once

#include "servers/softwareversions.h"

#include <optional>
#include <string>

namespace citronspar
{

/** The record of one stream, in the table that the entry daemons share. */
struct StreamRecord
{
    std::string service;
    /** The software version that began the stream; empty text is a version, too. */
    std::string version;
    /** Whether several streams have the same name, so that the version is not known. */
    bool isAmbiguous = false;
    TimePoint at{};
};

/** @param clockOffset of the clock of this process to the clock of the table, which the text states times in */
std::string encodeVersionPeriod(const VersionPeriod &period, Duration clockOffset);
/** Returns nullopt if the text is malformed or does not belong to @p key. */
std::optional<VersionPeriod> decodeVersionPeriod(const std::string &key, const std::string &text, Duration clockOffset);

std::string encodeStreamRecord(const StreamRecord &record, Duration clockOffset);
std::optional<StreamRecord> decodeStreamRecord(const std::string &text, Duration clockOffset);

}
