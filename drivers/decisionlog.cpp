#include "drivers/decisionlog.h"

#include "drivers/loop.h"

#include <poll.h>
#include <unistd.h>

#include <array>
#include <cstdio>

namespace citronspar
{

namespace
{

constexpr Duration rateInterval = std::chrono::seconds(1);

// A pipe that polls as writable accepts this many bytes without blocking (POSIX, PIPE_BUF).
constexpr std::size_t maxLineBytes = 4096;

void appendJsonString(std::string &line, const std::string &text)
{
    line += '"';
    for (const char character : text) {
        const unsigned char code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (code < 0x20 || code >= 0x7f) {
            std::array<char, 8> escape{};
            std::snprintf(escape.data(), escape.size(), "\\u%04x", static_cast<unsigned int>(code));
            line += escape.data();
        } else {
            line += character;
        }
    }
    line += '"';
}

void appendField(std::string &line, const char *name, const std::string &value)
{
    line += line.size() > 1 ? "," : "";
    appendJsonString(line, name);
    line += ':';
    appendJsonString(line, value);
}

bool isWritable(int descriptor)
{
    pollfd entry{descriptor, POLLOUT, 0};
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}

DecisionLog::DecisionLog(std::string daemon)
    : m_daemon(std::move(daemon))
{
}

void DecisionLog::write(const char *component, const char *event, std::initializer_list<Field> fields)
{
    const TimePoint now = Loop::now();
    LineRate &rate = m_lineRates[{component, event}];
    if (now - rate.windowStart >= rateInterval) {
        rate.windowStart = now;
        rate.lines = 0;
    }
    if (rate.lines >= maxLinesPerSecond || !isWritable(STDOUT_FILENO)) {
        ++rate.suppressed;
        return;
    }
    ++rate.lines;
    std::string line = "{";
    appendField(line, "wallMs", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(Loop::wallNow()).count()));
    appendField(line, "daemon", m_daemon);
    appendField(line, "part", component);
    appendField(line, "event", event);
    for (const Field &field : fields) {
        appendField(line, field.first, field.second);
    }
    if (rate.suppressed > 0) {
        appendField(line, "leftOut", std::to_string(rate.suppressed));
        rate.suppressed = 0;
    }
    line += "}\n";
    if (line.size() > maxLineBytes) {
        line.resize(maxLineBytes - 1);
        line += '\n';
    }
    if (::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
        ++rate.suppressed;
    }
}

std::string millisecondsText(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.1f", toSeconds(duration) * 1000);
    return text.data();
}

}
