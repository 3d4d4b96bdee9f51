#include "drivers/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <memory>

namespace citronspar
{

void setUpLogging(LogLayout layout, const std::string &level)
{
    log4cxx::LayoutPtr lineLayout;
    if (layout == LogLayout::Json) {
        lineLayout = std::make_shared<log4cxx::JSONLayout>();
    } else {
        lineLayout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d %-5p %c: %m%n"));
    }
    const log4cxx::AppenderPtr appender = std::make_shared<log4cxx::ConsoleAppender>(lineLayout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

log4cxx::LoggerPtr componentLogger(const char *component)
{
    return log4cxx::Logger::getLogger(component);
}

}
