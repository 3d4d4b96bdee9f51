#pragma once

#include <log4cxx/logger.h>

#include <string>

namespace citronspar
{

/** How log lines are laid out. */
enum class LogLayout {
    Text,
    Json,
};

/** Sends all logs to standard error in @p layout. @p level is a log4cxx level name. */
void setUpLogging(LogLayout layout, const std::string &level);

/** The logger of one part. Its name is the fixed prefix of the part's lines. */
log4cxx::LoggerPtr partLogger(const char *part);

}
