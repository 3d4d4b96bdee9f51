#include "servers/transferquery.h"

namespace citronspar
{

std::vector<std::string> TransferQuery::templateParts() const
{
    return sharedParts.empty() ? std::vector<std::string>() : std::vector<std::string>{sharedParts.front()};
}

}
