#pragma once

#include "batch/cluster.h"
#include "support/expect.h"

namespace bergamotwick::test {

/// Fails the test if a guarantee was violated in \p cluster.
inline void expectNoViolation(const Cluster &cluster)
{
    for (const std::string &violation : cluster.violations()) {
        CPPUNIT_FAIL(violation);
    }
}

}
