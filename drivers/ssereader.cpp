#include "drivers/ssereader.h"

namespace citronspar
{

std::vector<std::string> SseReader::add(const std::string &bytes)
{
    m_input += bytes;
    const std::string prefix = "data: ";
    std::vector<std::string> events;
    std::size_t start = 0;
    for (std::size_t end = m_input.find('\n'); end != std::string::npos; end = m_input.find('\n', start)) {
        std::string line = m_input.substr(start, end - start);
        start = end + 1;
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (line.compare(0, prefix.size(), prefix) == 0) {
            events.push_back(line.substr(prefix.size()));
        }
    }
    m_input.erase(0, start);
    return events;
}

}
