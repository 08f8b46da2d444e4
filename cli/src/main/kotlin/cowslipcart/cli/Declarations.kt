package cowslipcart.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.EmptyYamlDocumentException
import com.charleskorn.kaml.InvalidPropertyValueException
import com.charleskorn.kaml.MissingRequiredPropertyException
import com.charleskorn.kaml.UnknownPropertyException
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import cowslipcart.core.config.describe
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DeclarationKey
import cowslipcart.wire.admin.DeclarationDocument
import cowslipcart.wire.admin.EndpointDocument
import cowslipcart.wire.admin.OrganisationDocument
import cowslipcart.wire.admin.PoolDocument
import cowslipcart.wire.admin.PresetDocument
import cowslipcart.wire.admin.TierDocument
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.MissingFieldException

/**
 * A fault in a declaration file.
 *
 * @property line counted from 1
 * @property field path of the field, for example `endpoints[2].slotCount`
 * @property detail what was expected and what was found
 */
internal data class ParseFault(
    val file: String,
    val line: Int,
    val field: String,
    val detail: String
) {
    override fun toString(): String = "$file:$line: $field: $detail"
}

/**
 * Parses declaration files. A file is a map from a kind (`tiers`, `organisations`, `pools`,
 * `endpoints`, `presets`) to a list of declarations. The faults of all files are returned
 * together, so that an operator sees them in one run.
 */
internal object Declarations {
    private val serializersByKind: Map<String, DeserializationStrategy<DeclarationDocument>> =
        mapOf(
            "tiers" to TierDocument.serializer(),
            "organisations" to OrganisationDocument.serializer(),
            "pools" to PoolDocument.serializer(),
            "endpoints" to EndpointDocument.serializer(),
            "presets" to PresetDocument.serializer()
        )

    /** Parses [files], a map from file name to text. */
    fun parse(files: Map<String, String>): Either<List<ParseFault>, List<Declaration>> {
        val parsers = files.map { (name, text) -> FileParser(name).apply { parse(text) } }
        val items = parsers.flatMap { it.items }
        val faults = parsers.flatMap { it.faults } + findDuplicates(items)
        return if (faults.isEmpty()) items.map { it.declaration }.right() else faults.left()
    }

    private fun findDuplicates(items: List<Item>): List<ParseFault> {
        val firstByKey = mutableMapOf<DeclarationKey, Item>()
        return items.mapNotNull { item ->
            val first = firstByKey.putIfAbsent(item.declaration.key, item) ?: return@mapNotNull null
            val detail = "expected ${describe(item.declaration.key)} once, found it before at " +
                "${first.file}:${first.line}"
            ParseFault(item.file, item.line, item.field, detail)
        }
    }

    /** A parsed declaration and where it was found. */
    private class Item(
        val file: String,
        val line: Int,
        val field: String,
        val declaration: Declaration
    )

    private class FileParser(private val file: String) {
        val items = mutableListOf<Item>()
        val faults = mutableListOf<ParseFault>()

        fun parse(text: String) = catchFaults {
            when (val root = Yaml.default.parseToYamlNode(text)) {
                is YamlMap -> root.entries.forEach { (key, value) -> parseKind(key.content, value) }
                is YamlNull -> Unit
                else -> addFault(root, "expected a map of ${serializersByKind.keys}")
            }
        }

        private fun parseKind(kind: String, node: YamlNode) {
            val serializer = serializersByKind[kind]
            when {
                serializer == null -> addFault(
                    node,
                    "expected one of ${serializersByKind.keys}, found '$kind'"
                )

                node is YamlList -> node.items.forEach { parseItem(serializer, it) }

                else -> addFault(node, "expected a list of $kind")
            }
        }

        @OptIn(ExperimentalSerializationApi::class)
        private fun parseItem(
            serializer: DeserializationStrategy<DeclarationDocument>,
            node: YamlNode
        ) = catchFaults {
            try {
                val document = Yaml.default.decodeFromYamlNode(serializer, node)
                findDocumentFaults(document).forEach { addFault(node, it) }
                items += Item(file, node.location.line, fieldOf(node), document.toDeclaration())
            } catch (e: MissingFieldException) {
                // Thrown instead of a YamlException when more than one field is missing.
                faults += e.missingFields.map {
                    ParseFault(file, node.location.line, "${fieldOf(node)}.$it", MISSING)
                }
            }
        }

        private fun catchFaults(parse: () -> Unit) {
            try {
                parse()
            } catch (e: EmptyYamlDocumentException) {
                return
            } catch (e: YamlException) {
                faults += ParseFault(file, e.line, fieldOf(e), describeFault(e))
            }
        }

        private fun addFault(node: YamlNode, detail: String) {
            faults += ParseFault(file, node.location.line, fieldOf(node), detail)
        }
    }

    /** Faults that the conversion to a declaration would hide from the validation in core. */
    private fun findDocumentFaults(document: DeclarationDocument): List<String> = when {
        document is PoolDocument && (document.model == null) == (document.routes == null) ->
            listOf("expected exactly one of 'model' and 'routes'")

        document is PresetDocument ->
            document.tiers.groupingBy { it.rank }.eachCount().filterValues { it > 1 }
                .map { (rank, count) ->
                    "expected rank $rank once in 'tiers', found it $count times"
                }

        else -> emptyList()
    }

    private fun fieldOf(node: YamlNode): String = node.path.toHumanReadableString()

    private fun fieldOf(fault: YamlException): String {
        val path = fault.path.toHumanReadableString()
        val missing = (fault as? MissingRequiredPropertyException)?.propertyName ?: return path
        return "$path.$missing"
    }

    private fun describeFault(fault: YamlException): String = when (fault) {
        is UnknownPropertyException ->
            "expected one of ${fault.validPropertyNames.sorted()}, found '${fault.propertyName}'"

        is MissingRequiredPropertyException -> MISSING

        is InvalidPropertyValueException -> describeReason(fault.reason)

        else -> describeReason(fault.message)
    }

    private fun describeReason(reason: String): String = WRONG_TYPE.matchEntire(reason)
        ?.let { "expected a ${it.groupValues[2]} value, found '${it.groupValues[1]}'" }
        ?: reason

    private const val MISSING = "expected a value, found none"
    private val WRONG_TYPE = Regex("Value '(.*)' is not a valid (.*) value\\.")
}
