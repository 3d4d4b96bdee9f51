#include "servers/crashrow.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace citronspar
{

std::string suspectText(SuspectId suspect)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, suspect);
    return text.data();
}

std::string crashRowKey(const CrashRow &row)
{
    if (row.kind == CrashRow::Kind::Report) {
        return "report/" + row.report.crash + "/" + row.report.reporter;
    }
    return (row.kind == CrashRow::Kind::Clearance ? "clearance/" : "trial/") + suspectText(row.suspect);
}

}
