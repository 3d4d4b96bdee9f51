#pragma once

#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronspar
{

/** Identifies a possible cause of engine crashes: the hash of a shared prompt part, or of a whole request. */
using SuspectId = std::uint64_t;

/** One possible cause of a crash: it was in a request that the engine had when it ended. */
struct CrashSuspect
{
    SuspectId id = 0;
    /** Whether it is a whole request (account, path and body); otherwise a prompt part. */
    bool isWholeRequest = false;
    /** How many requests with it the reporter has recently seen completed. */
    std::int64_t completions = 0;
    /** When the attempt was sent that the engine had; timeNever if unknown. The earliest one if there were several. */
    TimePoint sentAt = timeNever;
};

/** What one entry daemon had running on an engine when the engine ended. */
struct CrashReport
{
    /** Identifies the incarnation of the engine, so that the reports of several daemons count as one crash. */
    std::string crash;
    /** Name of the daemon. */
    std::string reporter;
    /** When the connections to the engine were lost. */
    TimePoint at{};
    std::vector<CrashSuspect> suspects;
};

/** A row of the table in which the entry daemons share what they know about crashes. */
struct CrashRow
{
    enum class Kind {
        Report,
        /** A request with the suspect, sent at CrashRow::at, was completed. */
        Clearance,
        /** A daemon lets one request with the blocked suspect through at CrashRow::at. */
        Trial,
    };

    Kind kind = Kind::Report;
    /** Set if the kind is Report. */
    CrashReport report;
    /** Set for the other kinds. */
    SuspectId suspect = 0;
    TimePoint at{};
    /** Set if the kind is Trial: the number of trials since the suspect was blocked. */
    int trialCount = 0;
};

/** The suspect in hexadecimal, as in the keys of rows. */
std::string suspectText(SuspectId suspect);

/** The key of a row in the table. A later row with the same key replaces it. */
std::string crashRowKey(const CrashRow &row);

}
