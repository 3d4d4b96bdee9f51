#pragma once

#include <log4cxx/logger.h>

#include <string>

namespace citronspar
{

/** The format of log lines. */
enum class LogLayout {
    Text,
    Json,
};

/** Configures log4cxx to log to standard error. @p level is a log4cxx level name. */
void setUpLogging(LogLayout layout, const std::string &level);

/** Returns the logger of a component, whose name prefixes the component's lines. */
log4cxx::LoggerPtr componentLogger(const char *component);

}
