package org.cuminreach.trial;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import net.jqwik.api.Example;

class ArchitectureTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("org.cuminreach");

    @Example
    void packagesFormNoCycle() {
        slices().matching("org.cuminreach.(**)").should().beFreeOfCycles().check(CLASSES);
    }

    @Example
    void decisionsArePure() {
        noClasses()
                .that()
                .resideInAPackage("org.cuminreach.decisions..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.nio..",
                        "java.net..",
                        "java.util.concurrent..",
                        "io.netty..",
                        "org.slf4j..",
                        "org.apache.thrift..")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("org.cuminreach.decisions..")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(java.time.Clock.class)
                .check(CLASSES);
    }

    @Example
    void controlAndNodeDoNotDependOnEachOther() {
        noClasses()
                .that()
                .resideInAPackage("org.cuminreach.control..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.cuminreach.node..")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("org.cuminreach.node..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.cuminreach.control..")
                .check(CLASSES);
    }
}
